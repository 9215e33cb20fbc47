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
	// RolloutState is how far a rollout has come.
	RolloutState string

	// Rollout is an operator's order to move a service to a version whose
	// backend servers run beside the old ones.
	Rollout struct {
		Service ServiceName `json:"service"`
		To      VersionName `json:"to"`
		// Within is the time that the whole move may take.
		Within time.Duration `json:"within"`
		State  RolloutState  `json:"state,omitempty"`
		// Share is the part of the traffic, in thousandths, that the leader
		// last allowed the new version.
		Share int `json:"share,omitempty"`
	}
)
