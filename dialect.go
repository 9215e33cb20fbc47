package sassafrastray

import "time"

type (
	// Dialect defines the names of the headers that callers and backend servers
	// use, and how their values are parsed and formatted.
	Dialect struct {
		// ID carries the ID of a request, in requests and responses.
		ID string
		// Deadline carries the time that the caller waits for the response.
		Deadline string
		// Object identifies the object that a request refers to, by which
		// requests of a sticky route are assigned to a backend server.
		Object string
		// Key carries the caller's API key. Requests to backend servers carry
		// the name of the caller's team in Team instead.
		Key, Team string
		// Expect names the backend server that a request is intended for.
		Expect string
		// NotRun marks a response of a backend server that did not execute the
		// request. Load carries the server's BackendLoad, and Limit the requests per
		// second that it takes from all VMs together.
		NotRun, Load, Limit string
		// Leaving is set in all responses of a backend server that leaves. Pause, in one
		// that turns a request away, is for how long it wants none from this VM.
		Leaving, Pause string

		ParseDeadline  func([]byte) (time.Duration, bool)
		FormatDeadline func(time.Duration) string
		// FormatWait returns the value of the Retry-After header.
		FormatWait func(time.Duration) string
		ParseLoad  func([]byte) (BackendLoad, bool)
		// ParseLimit returns requests per second, or false if the value can't be read.
		ParseLimit func([]byte) (float64, bool)
		// ParseLeaving reports whether a value says that the server leaves, and
		// ParsePause returns the pause, or false if the value can't be read.
		ParseLeaving func([]byte) bool
		ParsePause   func([]byte) (time.Duration, bool)
	}

	// BackendLoad is the load that a backend server reports: the requests that
	// it executes, those in its queue, and how many it can execute at once.
	BackendLoad struct {
		Running, Waiting, Slots int
		// WorkPercent is how long work takes on the server's machine now, in percent of
		// the usual time. It is zero if the server does not report it.
		WorkPercent int
	}
)
