// Package outcome classifies how requests end for their callers.
package outcome

import (
	"strconv"

	"sassafrastray"
)

// Classes of outcomes. Reports use the same names.
const (
	// OK is a complete response with a status from 200 to 399 that belongs to
	// the request.
	OK Class = "ok"
	// Refused is a response with status 429 or 503.
	Refused Class = "refused"
	// Failed is a response with any other status.
	Failed Class = "failed"
	// Wrong is a response that seems complete but does not match the request.
	Wrong Class = "wrong"
	// Broken is a connection that closed before the response was complete, or
	// a response whose length is unknown.
	Broken Class = "broken"
	// Late is a request whose response was incomplete at the caller's timeout.
	Late Class = "late"
	// Unreached is a request for which no connection could be opened.
	Unreached Class = "unreached"
)

type (
	// Class is the category under which an outcome is counted.
	Class string

	// Outcome describes how a request ended, as its caller saw it.
	Outcome struct {
		Class  Class
		Status int
		// Result and Reason are those of the response, and empty if it has
		// none. Without a response, Result is ResultNotRun if the request
		// was never sent.
		Result sassafrastray.Result
		Reason sassafrastray.Reason
		// Bytes is the number of bytes received of the response body.
		Bytes int64
		// Redials counts the addresses that could not be reached before the
		// last one was tried, or all of them if no further VM was known.
		Redials int
		// Detail is a human-readable explanation of an outcome that is not OK.
		Detail string
	}
)

// ClassFromStatus returns the class of a complete response with the HTTP status
// code.
func ClassFromStatus(code int) Class {
	switch {
	case code == 429 || code == 503:
		return Refused
	case code >= 400 || code < 200:
		return Failed
	default:
		return OK
	}
}

// Label returns the label under which statistics count the outcome: the reason
// that the response gives, or else its status, or else the class.
func (o Outcome) Label() string {
	switch {
	case o.Reason != "" && o.Reason != sassafrastray.ReasonOK:
		return string(o.Reason)
	case o.Class == Refused || o.Class == Failed:
		return strconv.Itoa(o.Status)
	default:
		return string(o.Class)
	}
}
