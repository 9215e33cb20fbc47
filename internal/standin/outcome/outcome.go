// Package outcome names what becomes of a caller's request.
package outcome

import (
	"strconv"

	"sassafrastray"
)

// Classes of outcomes.
const (
	// OK is a whole answer with a status below 400 that belongs to the
	// request.
	OK Class = "ok"
	// Refused is status 429 or 503.
	Refused Class = "refused"
	// Failed is any other status.
	Failed Class = "failed"
	// Wrong is an answer that looks whole and is not what was asked for.
	Wrong Class = "wrong"
	// Broken is a connection that ended before the answer did.
	Broken Class = "broken"
	// Late is no whole answer before the caller's timeout.
	Late Class = "late"
	// Unreached is a request that no VM could be reached for.
	Unreached Class = "unreached"
)

type (
	// Class is how a request ended for its caller.
	Class string

	// Outcome is what the caller learned of its request.
	Outcome struct {
		Class  Class
		Status int
		// Result and Reason are what the answer says; they are empty if it
		// does not.
		Result sassafrastray.Result
		Reason sassafrastray.Reason
		// Bytes is the size of the answer's body that arrived.
		Bytes int64
		// Redials is how many addresses refused the connection before one
		// took it.
		Redials int
		// Detail explains outcomes that are not OK, for people.
		Detail string
	}
)

// Status returns the class of a status code.
func Status(code int) Class {
	switch {
	case code == 429 || code == 503:
		return Refused
	case code >= 400 || code < 200:
		return Failed
	default:
		return OK
	}
}

// Why returns the reason that outcomes are counted by: the answer's own, or
// else its status, or else the class.
func (o Outcome) Why() string {
	switch {
	case o.Reason != "" && o.Reason != sassafrastray.ReasonOK:
		return string(o.Reason)
	case o.Class == Refused || o.Class == Failed:
		return strconv.Itoa(o.Status)
	default:
		return string(o.Class)
	}
}
