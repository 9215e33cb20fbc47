package keeper

import (
	"time"

	"sassafrastray"
)

// Kinds of outcome of an offered request.
const (
	// Dispatch means that the request has a slot and must be sent now.
	Dispatch Kind = iota + 1
	// Queued means that it waits; a later call starts or drops it.
	Queued
	// Refused means that it was not taken and no later call names it.
	Refused
)

// Ends of a dispatched request.
const (
	// OK means that the backend server answered.
	OK EndKind = iota + 1
	// Failed means that it answered with an error of its own or broke off.
	Failed
	// Shed means that it refused the request for lack of a slot.
	Shed
	// Timeout means that no whole answer came in time.
	Timeout
	// Cancelled means that the caller gave up.
	Cancelled
	// NotSent means that no byte reached it.
	NotSent
)

type (
	// Kind is what became of an offered request.
	Kind int
	// EndKind is how a dispatched request ended.
	EndKind int

	// Request is a request that asks for a slot. ID is unique among the
	// requests that the keeper has not ended yet.
	Request struct {
		ID       uint64
		Service  sassafrastray.ServiceName
		Version  sassafrastray.VersionName
		Team     sassafrastray.TeamName
		Weight   int
		Route    sassafrastray.RouteName
		Deadline time.Time
		// Idempotent requests probe backend servers that were out; others do
		// so only if none has for a time.
		Idempotent bool
		// Patience is the longest expected wait that it accepts; zero means
		// any that its deadline allows.
		Patience time.Duration
		// Exclude lists backend servers that must not receive it.
		Exclude []sassafrastray.BackendName
	}

	// Outcome is the answer to an offered request. Wait is the expected time
	// in the queue.
	Outcome struct {
		Kind    Kind
		Backend sassafrastray.BackendName
		Reason  sassafrastray.Reason
		Wait    time.Duration
	}

	// End tells how a dispatched request ended. Latency is the time from the
	// dispatch to the last byte of the answer; zero means that the keeper's
	// own times count. Drain is set if the backend server said that it is
	// draining.
	End struct {
		Kind    EndKind
		Latency time.Duration
		Drain   bool
	}

	// Start names a queued request that has a slot now.
	Start struct {
		ID      uint64
		Backend sassafrastray.BackendName
	}

	// Drop names a queued request that is not going to run.
	Drop struct {
		ID     uint64
		Reason sassafrastray.Reason
	}
)
