// Package document reads YAML files field by field and reports every mistake
// in them with its file, line and field.
package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

type (
	// Problem is one mistake in a file. Line counts from 1; it is 0 where
	// the mistake belongs to no line, as for a file that is missing.
	Problem struct {
		File    string
		Line    int
		Field   string
		Text    string
		Warning bool
	}

	// Report collects the problems of one run over one or more files.
	Report struct {
		Problems []Problem
	}
)

// String returns the problem in the form "file:line: field: text".
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

// Sorted returns the problems by file, line and field, each of them once.
func (r *Report) Sorted() []Problem {
	out := slices.Clone(r.Problems)
	slices.SortFunc(out, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Field, b.Field), cmp.Compare(a.Text, b.Text))
	})
	return slices.Compact(out)
}

// Failed tells whether any problem is more than a warning.
func (r *Report) Failed() bool {
	return slices.ContainsFunc(r.Problems, func(p Problem) bool { return !p.Warning })
}

// Err returns nil if there is no problem but warnings, and otherwise an error
// that lists them all, one a line.
func (r *Report) Err() error {
	if !r.Failed() {
		return nil
	}
	return errors.Newf("%s", r.String())
}

// String returns the sorted problems, one a line.
func (r *Report) String() string {
	lines := make([]string, 0, len(r.Problems))
	for _, p := range r.Sorted() {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Count returns the number of problems that are more than warnings.
func (r *Report) Count() int {
	n := 0
	for _, p := range r.Sorted() {
		if !p.Warning {
			n++
		}
	}
	return n
}
