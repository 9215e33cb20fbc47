package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// story and step are the JSON form of a Story.
	story struct {
		Request string       `json:"request"`
		Cause   string       `json:"cause"`
		Steps   []step       `json:"steps"`
		Servers []serverLine `json:"servers,omitempty"`
		Missing int          `json:"missing"`
		Skipped int          `json:"skipped"`
	}

	step struct {
		Role   Role           `json:"role"`
		Fields map[string]any `json:"line"`
	}

	serverLine struct {
		Name   string `json:"name"`
		Tries  int    `json:"tries"`
		Failed int    `json:"failed"`
	}
)

// mostItems bounds the items of a list in the text form.
const mostItems = 3

// own are the fields that have a place of their own in the text form.
var own = map[string]bool{"time": true, "level": true, "msg": true, "vm": true, "run": true, "line": true, "request": true}

// times are the fields whose numbers are nanoseconds.
var times = map[string]bool{
	"took": true, "left": true, "demands": true, "delay": true, "expected": true, "nextExpected": true, "wait": true,
	"pause": true, "report": true, "for": true, "after": true, "waited": true,
}

// JSON writes the story as one JSON object.
func (s *Story) JSON(w io.Writer) error {
	out := story{Request: s.ID, Cause: s.Cause, Missing: s.Missing, Skipped: s.Skipped}
	for _, t := range s.Steps {
		out.Steps = append(out.Steps, step{t.Role, t.Fields})
	}
	for _, v := range s.Servers {
		out.Servers = append(out.Servers, serverLine(v))
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(out), "write story")
}

// Text writes the story for people.
func (s *Story) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n%s\n\n", s.ID, s.Cause)
	for _, t := range s.Steps {
		fmt.Fprintf(&b, "%-7s  %s #%d  %s  %s%s\n", t.Role, t.VM, t.Number, t.Time.Format("15:04:05.000"), t.Message, t.details())
	}
	if s.Missing > 0 {
		fmt.Fprintf(&b, "\nThe VMs left out or lost %d lines; some of them may belong here.\n", s.Missing)
	}
	if s.Skipped > 0 {
		fmt.Fprintf(&b, "\n%d lines are no JSON objects and were skipped.\n", s.Skipped)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write story")
}

// details returns the line's other fields in the order of their names.
func (l *Line) details() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		v := l.Fields[k]
		if own[k] || v == nil || v == "" {
			continue
		}
		switch t := v.(type) {
		case float64:
			if times[k] && t != -1 {
				v = time.Duration(t).Round(100 * time.Microsecond)
			}
		case []any:
			if rest := len(t) - mostItems; rest > 0 {
				v = fmt.Sprintf("%v and %d more", t[:mostItems], rest)
			}
		}
		fmt.Fprintf(&b, " %s=%v", k, v)
	}
	return b.String()
}
