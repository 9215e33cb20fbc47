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
	// explanationJSON is the JSON form of an Explanation.
	explanationJSON struct {
		Request string       `json:"request"`
		Cause   string       `json:"cause"`
		Steps   []stepJSON   `json:"steps"`
		Servers []serverJSON `json:"servers,omitempty"`
		Missing int          `json:"missing"`
		Skipped int          `json:"skipped"`
	}

	stepJSON struct {
		Role   Role           `json:"role"`
		Fields map[string]any `json:"line"`
	}

	serverJSON struct {
		Name   string `json:"name"`
		Tries  int    `json:"tries"`
		Failed int    `json:"failed"`
	}
)

// maxListItems bounds the printed items of a list in the text form.
const maxListItems = 3

// headerFields are the fields that details leaves out: the text form has a fixed
// place for them or omits them.
var headerFields = map[string]bool{"time": true, "level": true, "msg": true, "vm": true, "run": true, "line": true, "request": true}

// durationFields are the fields with a duration in nanoseconds.
var durationFields = map[string]bool{
	"took": true, "asked": true, "left": true, "demands": true, "delay": true, "expected": true, "nextExpected": true, "wait": true,
	"pause": true, "report": true, "for": true, "after": true, "waited": true,
}

// JSON writes the explanation as one JSON object.
func (e *Explanation) JSON(w io.Writer) error {
	out := explanationJSON{Request: e.ID, Cause: e.Cause, Missing: e.Missing, Skipped: e.Skipped}
	for _, step := range e.Steps {
		out.Steps = append(out.Steps, stepJSON{step.Role, step.Fields})
	}
	for _, server := range e.Servers {
		out.Servers = append(out.Servers, serverJSON(server))
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(out), "write explanation")
}

// Text writes the explanation in a form for people.
func (e *Explanation) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n%s\n\n", e.ID, e.Cause)
	for _, step := range e.Steps {
		fmt.Fprintf(&b, "%-7s  %s #%d  %s  %s%s\n", step.Role, step.VM, step.Number, step.Time.Format("15:04:05.000"), step.Message, step.details())
	}
	if e.Missing > 0 {
		fmt.Fprintf(&b, "\nThe VMs left out or lost %d lines; some of them may belong here.\n", e.Missing)
	}
	if e.Skipped > 0 {
		fmt.Fprintf(&b, "\n%d lines are no JSON objects and were skipped.\n", e.Skipped)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "write explanation")
}

// details returns the line's other fields, sorted by name.
func (l *Line) details() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		v := l.Fields[k]
		if headerFields[k] || v == nil || v == "" {
			continue
		}
		switch t := v.(type) {
		case float64:
			if durationFields[k] && t != -1 {
				v = time.Duration(t).Round(100 * time.Microsecond)
			}
		case []any:
			if rest := len(t) - maxListItems; rest > 0 {
				v = fmt.Sprintf("%v and %d more", t[:maxListItems], rest)
			}
		}
		fmt.Fprintf(&b, " %s=%v", k, v)
	}
	return b.String()
}
