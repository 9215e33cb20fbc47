package evidence

import "sassafrastray"

// firstServerError is the lowest HTTP status that reports a server error.
const firstServerError = 500

// Classify reports whether a request's outcome says something about the version
// that it was sent to, and whether the request succeeded. Requests that the
// system refused, that the caller gave up and that a backend server shed are
// not counted. A backend server that can't be reached counts as a failure; Judge
// tells faults of single backend servers and failure domains from faults of the
// version.
func Classify(result sassafrastray.Result, reason sassafrastray.Reason, status int) (counted, ok bool) {
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
