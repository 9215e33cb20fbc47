package scheduler

import (
	"time"

	"sassafrastray"
)

// Outcomes of an offered request.
const (
	// Dispatched means that the request has a slot and must be sent now.
	Dispatched OutcomeKind = iota + 1
	// Queued means that it waits; a later call starts or drops it.
	Queued
	// Refused means that it was not accepted; no later call returns it.
	Refused
)

// Ends of a dispatched request.
const (
	// OK means that the backend server answered.
	OK EndKind = iota + 1
	// Failed means that it answered with an error or closed the connection
	// early.
	Failed
	// Shed means that it rejected the request because no slot was free.
	Shed
	// Timeout means that no complete answer arrived in time.
	Timeout
	// Cancelled means that the caller gave up.
	Cancelled
	// Incomplete means that its caller did not send the whole request, so it does
	// not work on it.
	Incomplete
	// NotSent means that no byte of the request reached it.
	NotSent
)

type (
	// OutcomeKind is the kind of outcome of an offered request.
	OutcomeKind int
	// EndKind is how a dispatched request ended.
	EndKind int

	// Request is a request for a slot. ID is unique among the requests that
	// are waiting or in flight.
	Request struct {
		ID       uint64
		Service  sassafrastray.ServiceName
		Version  sassafrastray.VersionName
		Team     sassafrastray.TeamName
		Weight   int
		Route    sassafrastray.RouteName
		Deadline time.Time
		// Idempotent requests may probe backend servers that are down; others do
		// so only if no idempotent request has for some time.
		Idempotent bool
		// MaxWait is the longest expected time in the queue that the request
		// accepts; zero means any that its deadline allows.
		MaxWait time.Duration
		// Exclude lists backend servers that must not receive it.
		Exclude []sassafrastray.BackendName
	}

	// Outcome is the result of an offered request. Wait is the expected time in
	// the queue.
	Outcome struct {
		Kind    OutcomeKind
		Backend sassafrastray.BackendName
		Reason  sassafrastray.Reason
		Wait    time.Duration
	}

	// End describes how a dispatched request ended. Latency is the time from the
	// dispatch to the last byte of the answer; if it is zero, the scheduler uses
	// the time between its own calls. Drain is set if the backend server
	// reported that it is draining.
	End struct {
		Kind    EndKind
		Latency time.Duration
		Drain   bool
	}

	// Start is a queued request that has been given a slot.
	Start struct {
		ID      uint64
		Backend sassafrastray.BackendName
	}

	// Drop is a queued request that is not going to run.
	Drop struct {
		ID     uint64
		Reason sassafrastray.Reason
	}
)
