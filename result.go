package sassafrastray

// Results of a request: whether a backend server executed it.
const (
	// ResultNotRun means that no backend server executed the request.
	ResultNotRun Result = "not-run"
	// ResultRan means that a backend server executed the request and responded.
	ResultRan Result = "ran"
	// ResultUnknown means that a backend server may have executed the request.
	ResultUnknown Result = "unknown"
)

// Reasons for a response that the system generates itself.
const (
	ReasonOK          Reason = "ok"
	ReasonHost        Reason = "host"     // no service has this host
	ReasonPath        Reason = "path"     // no route has this path
	ReasonMethod      Reason = "method"   // the route does not allow the method
	ReasonKey         Reason = "key"      // the key is missing or not valid
	ReasonTeam        Reason = "team"     // the team may not call this service
	ReasonQuota       Reason = "quota"    // the team exceeds its rate and burst
	ReasonBusy        Reason = "busy"     // no slot became free before the deadline
	ReasonDeadline    Reason = "deadline" // the deadline passed
	ReasonBody        Reason = "body"     // the body exceeds the route's limit
	ReasonBackend     Reason = "backend"  // no backend server could be reached
	ReasonBadResponse Reason = "broken"   // truncated, late or mismatched response
	ReasonLeaving     Reason = "leaving"  // the VM is stopping
	ReasonStaleConfig Reason = "stale"    // no configuration, or too old to accept keys
	ReasonLink        Reason = "link"     // the link to the region has no capacity left
	ReasonCallerGone  Reason = "gone"     // the caller closed the connection
	ReasonShed        Reason = "shed"     // the backend server shed the request
	ReasonHeader      Reason = "header"   // the request's header is too large
	ReasonMalformed   Reason = "form"     // the request is not valid HTTP
	ReasonVM          Reason = "vm"       // the chosen VM could not accept the request
	ReasonHarmful     Reason = "harmful"  // backend servers crashed that ran the request
)

type (
	// Result tells whether a request was executed.
	Result string
	// Reason tells why the system generated the response itself.
	Reason string
)
