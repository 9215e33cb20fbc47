// Package message has the messages of log lines that programs read again: those
// who explain a request find its lines, and what its VM believed, by them.
package message

// Lines about one request.
const (
	Answered  = "answered"
	Refused   = "refused"
	TryFailed = "try failed"
	Retried   = "retry"
	Placed    = "placement"
	Routed    = "routing"
)

// Lines about what a VM believes.
const (
	Configured     = "configuration in force"
	ServersChanged = "backend servers changed"
	ServerLeftOut  = "backend server left out"
	ServerUsed     = "backend server used again"
	Rollout        = "rollout"
	RolloutWritten = "rollout written"
	StoreCopied    = "copy of the store from another VM"
	StoreAway      = "the store is not reached"
	StoreBack      = "the store is reached again"
	VMSilent       = "VM not heard of any more"
	VMHeard        = "VM heard of again"
	StoodStill     = "the VM stood still"
	Draining       = "draining"
	Serving        = "serving"
)

// Lines about lines that are missing.
const (
	LeftOut = "lines left out"
	Lost    = "lines lost: the output is too slow"
)
