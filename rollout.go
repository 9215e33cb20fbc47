package sassafrastray

import "time"

// States of a rollout.
const (
	RolloutPending  RolloutState = ""
	RolloutRunning  RolloutState = "running"
	RolloutDone     RolloutState = "done"
	RolloutReverted RolloutState = "reverted"
)

type (
	// RolloutState is the progress of a rollout.
	RolloutState string

	// Rollout is an operator's request to move a service to a new version. The
	// backend servers of both versions run during the rollout.
	Rollout struct {
		Service ServiceName `json:"service"`
		To      VersionName `json:"to"`
		// MaxDuration bounds the time that the whole rollout may take.
		MaxDuration time.Duration `json:"within"`
		State       RolloutState  `json:"state,omitempty"`
		// Share is the share of the traffic, in thousandths, that the leader
		// last assigned to the new version.
		Share int `json:"share,omitempty"`
	}
)
