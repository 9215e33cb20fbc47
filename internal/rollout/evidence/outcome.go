package evidence

import "sassafrastray"

// firstServerError is the lowest HTTP status that blames the server.
const firstServerError = 500

// Counts tells whether a request's end says something about the version that
// it was sent to, and whether it went well. The system's own refusals, callers
// that hung up and requests that a backend server shed say nothing. A backend
// server that can't be reached counts as a failure; the judgement leaves out
// single backend servers and failure domains.
func Counts(result sassafrastray.Result, reason sassafrastray.Reason, status int) (counted, ok bool) {
	switch reason {
	case sassafrastray.ReasonOK:
		return true, status < firstServerError
	case sassafrastray.ReasonBackend, sassafrastray.ReasonBadResponse:
		return true, false
	case sassafrastray.ReasonDeadline:
		return result != sassafrastray.ResultNotRun, false
	}
	return false, false
}
