package sassafrastray

import "time"

type (
	// Dialect is how callers and backend servers name the headers that the
	// system reads and writes, and how their values look.
	Dialect struct {
		// ID carries a request's id, in requests and answers.
		ID string
		// Deadline is how long the caller waits.
		Deadline string
		// Object names what a request is about.
		Object string
		// Key carries the caller's key, Team the name that backend servers
		// get in its place.
		Key, Team string
		// Expect names the backend server that a request is meant for.
		Expect string
		// NotRun marks an answer of a backend server that did not run the
		// request, and Load its work.
		NotRun, Load string

		ParseDeadline  func([]byte) (time.Duration, bool)
		FormatDeadline func(time.Duration) string
		// FormatWait writes the value of Retry-After.
		FormatWait func(time.Duration) string
		ParseLoad  func([]byte) (BackendLoad, bool)
	}

	// BackendLoad is what a backend server says of its work.
	BackendLoad struct {
		Running, Waiting, Slots int
	}
)
