package scenario

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// DefaultTimeout is how long callers wait where the case does not say.
const DefaultTimeout = 5 * time.Second

type (
	// Problem is something wrong in a case file.
	Problem struct {
		File  string
		Line  int
		Field string
		Text  string
	}

	// Problems is an error that lists all that is wrong.
	Problems []Problem

	// located is an error of the YAML library that knows its place.
	located interface {
		error
		GetToken() *token.Token
		GetMessage() string
	}

	// checker collects problems.
	checker struct {
		file     string
		tree     *ast.File
		problems Problems
	}
)

// quoted finds a value in the text of an error.
var quoted = regexp.MustCompile(`"([^"]*)"`)

// String returns the problem as file:line: field: text.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Text)
}

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Parse reads a case file. Its error is Problems.
func Parse(file string, text []byte) (*Case, error) {
	c := &Case{}
	if err := yaml.UnmarshalWithOptions(text, c, yaml.Strict()); err != nil {
		return nil, Problems{problem(file, text, err)}
	}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, Problems{problem(file, text, err)}
	}
	c.fill()
	k := &checker{file: file, tree: tree}
	k.check(c)
	if len(k.problems) > 0 {
		slices.SortStableFunc(k.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return nil, k.problems
	}
	return c, nil
}

// problem turns an error of the YAML library into a Problem.
func problem(file string, text []byte, err error) Problem {
	p := Problem{File: file, Line: 1, Text: err.Error()}
	var (
		l located
		t *token.Token
	)
	if errors.As(err, &l) {
		p.Text, t = l.GetMessage(), l.GetToken()
	} else if m := quoted.FindStringSubmatch(err.Error()); m != nil {
		t = find(text, m[1])
	}
	if t != nil {
		p.Line, p.Field = t.Position.Line, field(t)
	}
	return p
}

// find returns the first token with the value, or nil. The library's errors
// about durations name only the value.
func find(text []byte, value string) *token.Token {
	for _, t := range lexer.Tokenize(string(text)) {
		if t.Value == value {
			return t
		}
	}
	return nil
}

// field returns the key that a value's token belongs to, or the token itself
// if it is a key.
func field(t *token.Token) string {
	if t.Next != nil && t.Next.Type == token.MappingValueType {
		return t.Value
	}
	for p := t.Prev; p != nil; p = p.Prev {
		if p.Type == token.MappingValueType && p.Prev != nil {
			return p.Prev.Value
		}
	}
	return ""
}

// fill sets what a case need not say.
func (c *Case) fill() {
	for i := range c.Services {
		for j := range c.Services[i].Kinds {
			k := &c.Services[i].Kinds[j]
			if k.Timeout == 0 {
				k.Timeout = DefaultTimeout
			}
			if k.Method == "" {
				k.Method = "GET"
			}
			if k.Weight == 0 {
				k.Weight = 1
			}
		}
	}
	for i := range c.Phases {
		if c.Phases[i].Factor == 0 {
			c.Phases[i].Factor = 1
		}
	}
}

// add notes a problem of the field at the path.
func (k *checker) add(path, text string, args ...any) {
	k.problems = append(k.problems, Problem{k.file, k.line(path), strings.TrimPrefix(path, "$."), fmt.Sprintf(text, args...)})
}

// line returns the line of the field at the path, or of the nearest field
// above it that is there.
func (k *checker) line(path string) int {
	for path != "$" {
		if p, err := yaml.PathString(path); err == nil {
			if n, err := p.FilterFile(k.tree); err == nil && n != nil {
				return n.GetToken().Position.Line
			}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 1)]
	}
	return 1
}
