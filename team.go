package sassafrastray

type (
	// Team is a tenant: a set of callers that share keys and quotas.
	Team struct {
		Name TeamName    `json:"name"`
		Keys []KeyDigest `json:"keys"`
		// Rate, in requests per second, and Burst, in requests, bound the
		// team's requests to all services together. A zero rate means no
		// bound.
		Rate  float64 `json:"rate,omitempty"`
		Burst int     `json:"burst,omitempty"`
		// Priority, if set, overrides the priority of the route.
		Priority *int `json:"priority,omitempty"`
		// Regions are where the team's requests may be served; empty means
		// everywhere.
		Regions []RegionName `json:"regions,omitempty"`
	}

	// KeyDigest is the SHA-256 digest of a key, in lower-case hexadecimal.
	// The key itself is never stored.
	KeyDigest string

	// Allowance is a team's quota at a service, and its weight under overload.
	Allowance struct {
		Team TeamName `json:"team"`
		// Rate is in requests per second over the whole fleet.
		Rate float64 `json:"rate"`
		// Burst is the maximum number of requests above the rate.
		Burst int `json:"burst"`
		// Weight is the team's share when a service is overloaded,
		// relative to the other teams' weights.
		Weight int `json:"weight"`
	}
)
