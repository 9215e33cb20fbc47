package sassafrastray

// Results of a request as far as its backend server is concerned.
const (
	// NotRun means that no backend server executed the request.
	NotRun Result = "not-run"
	// Ran means that a backend server executed it and answered.
	Ran Result = "ran"
	// Unknown means that a backend server may have executed it.
	Unknown Result = "unknown"
)

// Reasons for an answer that the system gives by itself.
const (
	ReasonOK       Reason = "ok"
	ReasonHost     Reason = "host"     // no service has this host
	ReasonPath     Reason = "path"     // no route has this path
	ReasonMethod   Reason = "method"   // the route does not allow the method
	ReasonKey      Reason = "key"      // no key, or not a key in force
	ReasonTeam     Reason = "team"     // the team may not call this service
	ReasonQuota    Reason = "quota"    // the team is above its rate and burst
	ReasonBusy     Reason = "busy"     // no slot before the deadline
	ReasonDeadline Reason = "deadline" // the deadline passed
	ReasonBody     Reason = "body"     // the body is above the route's limit
	ReasonBackend  Reason = "backend"  // no backend server could be reached
	ReasonBroken   Reason = "broken"   // the answer was cut, late or crossed
	ReasonLeaving  Reason = "leaving"  // the VM is stopping
	ReasonStale    Reason = "stale"    // the VM has no word on keys for too long
	ReasonLink     Reason = "link"     // the link to the region has no headroom
	ReasonGone     Reason = "gone"     // the caller hung up
	ReasonShed     Reason = "shed"     // the backend server shed the request
	ReasonHeader   Reason = "header"   // the request's header is too large
	ReasonForm     Reason = "form"     // the request is not HTTP
	ReasonVM       Reason = "vm"       // the chosen VM could not take the request
)

type (
	// Result tells whether a request was executed.
	Result string
	// Reason tells why the system answered by itself.
	Reason string
)
