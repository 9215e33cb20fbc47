// Package message defines the messages of log lines that programs match. For
// example, the subcommand explain finds the lines about a request and about the
// state of its VM by them.
package message

// Lines about one request.
const (
	Answered  = "answered"
	Refused   = "refused"
	TryFailed = "try failed"
	Retried   = "retry"
	Placed    = "placement"
	Routed    = "routing"
	// RelayedAnswered and RelayedRefused are the end of a request that another VM relayed.
	RelayedAnswered = "answered for another VM"
	RelayedRefused  = "refused for another VM"
)

// Lines about the state of a VM and its view of the fleet.
const (
	ConfigApplied     = "configuration in force"
	ServersChanged    = "backend servers changed"
	ServerExcluded    = "backend server left out"
	ServerReadmitted  = "backend server used again"
	ServerLimited     = "backend server names a limit"
	LimitUnreadable   = "the limit of a backend server can't be read"
	ServerLeaving     = "backend server says that it leaves"
	ServerPaused      = "backend server names a pause"
	PauseUnreadable   = "the pause of a backend server can't be read"
	ServerUnlimited   = "backend server names no limit any more"
	PartitionBegun    = "partitioned from all backend servers"
	PartitionEnded    = "backend servers are reached again"
	QuarantineBegun   = "request kept from backend servers"
	QuarantineTrial   = "request in quarantine let through"
	QuarantineEnded   = "request sent to backend servers again"
	Rollout           = "rollout"
	RolloutWritten    = "rollout written"
	ConfigBehind      = "another VM has a later configuration"
	ConfigUnconfirmed = "the configuration is not confirmed any more"
	ConfigConfirmed   = "the configuration is confirmed again"
	StoreCopyReceived = "copy of the store from another VM"
	StoreUnreachable  = "the store is not reached"
	StoreUnanswered   = "the store left a call unanswered"
	WatchesRenewed    = "renewing the watches of the store"
	StoreReachable    = "the store is reached again"
	StoreReturned     = "the store has returned to an older copy"
	VMSilent          = "VM not heard of any more"
	VMHeardAgain      = "VM heard of again"
	VMStalled         = "the VM stood still"
	QuotaShare        = "share of a quota"
	RegionShare       = "share of other regions"
	Crash             = "unexpected error in a task"
	ConnectionsFull   = "connections at their bound"
	AcceptFailed      = "accepting connections failed"
	DutyTaken         = "duty taken"
	DutyLost          = "duty lost"
	DutyReleased      = "duty released"
	DutyRollback      = "the store lost the latest record of the duty"
	UsageDecided      = "usage decided"
	UsageReported     = "usage reported"
	UsageRetried      = "usage report is repeated"
	UsageGivenUp      = "usage given up"
	UsageSendFailed   = "usage report not accepted"
	Draining          = "draining"
	Serving           = "serving"
)

// Lines that report how many other lines were not written.
const (
	LinesLeftOut = "lines left out"
	LinesLost    = "lines lost: the output is too slow"
)
