package sassafrastray

type (
	// Team is a tenant: a set of callers that share keys and quotas.
	Team struct {
		Name TeamName    `json:"name"`
		Keys []KeyDigest `json:"keys"`
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
