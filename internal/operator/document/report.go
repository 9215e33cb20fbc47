// Package document reads YAML files field by field and reports all problems in them
// with file, line and field.
package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

type (
	// Problem is an error or a warning about a file. Line counts from 1; it is
	// 0 for a problem with no line, such as a missing file.
	Problem struct {
		File    string
		Line    int
		Field   string
		Text    string
		Warning bool
	}

	// Report collects the problems of one or more files that are read together.
	Report struct {
		Problems []Problem
	}
)

// String returns the problem in the form "file:line: field: text", with ": warning"
// after the field for a warning.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Field != "" {
		b.WriteString(": " + p.Field)
	}
	if p.Warning {
		b.WriteString(": warning")
	}
	return b.String() + ": " + p.Text
}

// Add appends a problem.
func (r *Report) Add(p Problem) { r.Problems = append(r.Problems, p) }

// Sorted returns the problems sorted by file, line and field, without duplicates.
func (r *Report) Sorted() []Problem {
	out := slices.Clone(r.Problems)
	slices.SortFunc(out, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Field, b.Field), cmp.Compare(a.Text, b.Text))
	})
	return slices.Compact(out)
}

// Failed reports whether the report has an error.
func (r *Report) Failed() bool {
	return slices.ContainsFunc(r.Problems, func(p Problem) bool { return !p.Warning })
}

// Err returns nil if the report has no errors, and otherwise an error that lists all
// problems, including warnings, one per line.
func (r *Report) Err() error {
	if !r.Failed() {
		return nil
	}
	return errors.Newf("%s", r.String())
}

// String returns the sorted problems, one per line.
func (r *Report) String() string {
	lines := make([]string, 0, len(r.Problems))
	for _, p := range r.Sorted() {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// ErrorCount returns the number of distinct errors, without warnings.
func (r *Report) ErrorCount() int {
	n := 0
	for _, p := range r.Sorted() {
		if !p.Warning {
			n++
		}
	}
	return n
}
