package sassafrastray

type (
	// Team is a tenant: a set of callers that share keys and quotas.
	Team struct {
		Name TeamName    `json:"name"`
		Keys []KeyDigest `json:"keys"`
		// Rate and Burst bound the team's requests of all services together,
		// in requests per second and requests; a zero rate means no bound.
		Rate  float64 `json:"rate,omitempty"`
		Burst int     `json:"burst,omitempty"`
		// Priority goes before a route's own, if it is set.
		Priority *int `json:"priority,omitempty"`
		// Regions are where the team's requests may be served; empty means
		// everywhere.
		Regions []RegionName `json:"regions,omitempty"`
	}

	// KeyDigest is the SHA-256 digest of a key, in lower-case hexadecimal.
	// The key itself is never kept.
	KeyDigest string

	// Allowance is what one team may ask of one service.
	Allowance struct {
		Team TeamName `json:"team"`
		// Rate is in requests per second over the whole fleet.
		Rate float64 `json:"rate"`
		// Burst is the greatest number of requests above the rate.
		Burst int `json:"burst"`
		// Weight is the team's share when a service is overloaded,
		// relative to the other teams' weights.
		Weight int `json:"weight"`
	}
)
