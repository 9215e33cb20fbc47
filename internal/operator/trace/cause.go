package trace

import (
	"fmt"
	"strings"
	"time"

	"sassafrastray/internal/operator/message"
)

// cause describes in a few sentences why the request ended as it did.
func cause(e *Explanation) string {
	end := e.outcome()
	if end == nil {
		return "The line about the request's end is missing: it was left out or lost, or the VM died."
	}
	if end.Message == message.Answered {
		return fmt.Sprintf("Answered with status %d by %s after %d tries in %v.%s%s",
			end.number("status"), end.text("backend"), end.number("tries"), end.duration("took").Round(time.Millisecond), end.through(), e.failedTries())
	}
	parts := []string{end.refusal(e.backend()) + end.through()}
	if e.hasBelief(message.StoreUnreachable) {
		parts = append(parts, "The VM did not reach the store, so what it knew of backend servers and teams may have been old.")
	}
	if e.hasBelief(message.VMStalled) && e.Steps[0].Message == message.VMStalled {
		parts = append(parts, "The VM had been suspended.")
	}
	for _, step := range e.Steps {
		if step.Role != RoleLater {
			continue
		}
		switch name := end.text("backend"); {
		case step.listContains("removed", name):
			parts = append(parts, fmt.Sprintf("The VM learned only afterwards that %s was gone.", name))
		case step.listContains("leaving", name):
			parts = append(parts, fmt.Sprintf("The VM learned only afterwards that %s was leaving.", name))
		}
	}
	for _, v := range e.Servers {
		if v.Failed > 0 {
			parts = append(parts, fmt.Sprintf("%d of %d other tries at %s failed too.", v.Failed, v.Tries, v.Name))
		}
	}
	return strings.Join(parts, " ")
}

// outcome returns the line that reports the request's outcome, or nil.
func (e *Explanation) outcome() *Line {
	for i := range e.Steps {
		if l := &e.Steps[i].Line; e.Steps[i].Role == RoleRequest && (l.Message == message.Answered || l.Message == message.Refused) {
			return l
		}
	}
	return nil
}

// through says through which VM the request went, if it did not go straight.
func (l *Line) through() string {
	if vm := l.text("through"); vm != "" {
		return fmt.Sprintf(" It was relayed to %s, since the VM was partitioned from all backend servers.", vm)
	}
	return ""
}

func (e *Explanation) hasBelief(message string) bool {
	for i := range e.Steps {
		if e.Steps[i].Message == message && e.Steps[i].Role == RoleBelief {
			return true
		}
	}
	return false
}

// failedTries describes the tries that failed before the answer.
func (e *Explanation) failedTries() string {
	var b strings.Builder
	for i := range e.Steps {
		if l := &e.Steps[i].Line; l.Message == message.TryFailed && e.Steps[i].Role == RoleRequest {
			fmt.Fprintf(&b, " Try %d at %s failed (%s).", l.number("try"), l.text("backend"), l.text("reason"))
		}
	}
	return b.String()
}

// backend returns the last server that the request was sent to, on any VM.
func (e *Explanation) backend() string {
	name := "unknown"
	for i := range e.Steps {
		if b := e.Steps[i].text("backend"); b != "" && e.Steps[i].Role == RoleRequest {
			name = b
		}
	}
	return name
}

// refusal describes why the request was refused or failed at the backend server.
func (l *Line) refusal(backend string) string {
	status := ""
	if n := l.number("status"); n > 0 {
		status = fmt.Sprintf("Status %d: ", n)
	}
	took := l.duration("took").Round(time.Millisecond)
	detail := l.text("detail")
	switch l.text("reason") {
	case "quota":
		return status + fmt.Sprintf("team %s had used the VM's part of its rate, %.2f of the whole (lent to other VMs %.2f, borrowed from them %.2f); the caller was told to come back after %v.",
			l.text("team"), l.float("share"), l.float("lent"), l.float("borrowed"), l.duration("wait").Round(time.Millisecond))
	case "busy":
		if detail == "limited" {
			return status + fmt.Sprintf("every backend server of %s that could have taken the request had had as many as the limit that it names allows this VM; the caller was told to come back after %v.",
				l.text("service"), l.duration("wait").Round(time.Millisecond))
		}
		if detail == "paused" {
			return status + fmt.Sprintf("every backend server of %s that could have taken the request had named a pause, in which it wants none from this VM; the caller was told to come back after %v.",
				l.text("service"), l.duration("wait").Round(time.Millisecond))
		}
		return status + fmt.Sprintf("every backend server of %s that could have taken the request had a longer queue than it may wait in (%.1f requests at the best of %d, %s, by a report %v old); the caller was told to come back after %v.",
			l.text("service"), l.float("load"), l.number("weighed"), backend,
			l.duration("report").Round(time.Millisecond), l.duration("wait").Round(time.Millisecond))
	case "shed":
		return status + fmt.Sprintf("backend server %s declined the request without running it.", backend)
	case "harmful":
		return status + fmt.Sprintf("backend servers of %s crashed that ran the same request; it is kept from them, and the caller was told to come back after %v.",
			l.text("service"), l.duration("wait").Round(time.Millisecond))
	case "deadline":
		return status + fmt.Sprintf("the time was over after %v and %d tries, the last at %s (load %.1f, %v expected).",
			took, l.number("tries"), backend, l.float("load"), l.duration("expected").Round(time.Millisecond))
	case "backend":
		if l.text("backend") == "" {
			return status + fmt.Sprintf("no backend server of %s could be used (%s).", l.text("service"), detail)
		}
		return status + fmt.Sprintf("no connection to backend server %s could be opened.", backend)
	case "broken":
		return status + fmt.Sprintf("the exchange with backend server %s failed (%s); the request %s.", backend, detail, describeResult(l.text("result")))
	case "gone":
		return status + fmt.Sprintf("the caller left after %v.", took)
	case "key":
		return status + fmt.Sprintf("configuration %d has no team with the caller's key.", l.number("config"))
	case "path":
		return status + fmt.Sprintf("configuration %d has no route for the host and path.", l.number("config"))
	case "stale":
		if l.text("through") != "" {
			return status + "the other VM has another configuration, and no further one took the request."
		}
		if detail == "behind" {
			return status + fmt.Sprintf("configuration %d does not allow the request, and another VM had a later one; the caller was told to come back after %v.",
				l.number("config"), l.duration("wait").Round(time.Millisecond))
		}
		return status + "the VM had no configuration yet."
	case "vm":
		return status + fmt.Sprintf("no other VM took the request (%s); the caller was told to come back after %v.",
			detail, l.duration("wait").Round(time.Millisecond))
	case "body":
		return status + "the body was longer than the configuration allows."
	}
	return status + fmt.Sprintf("%s %s.", l.text("reason"), detail)
}

func describeResult(result string) string {
	if result == "not-run" {
		return "has not run"
	}
	return "may have run"
}

func (l *Line) float(key string) float64 {
	f, _ := l.Fields[key].(float64)
	return f
}
