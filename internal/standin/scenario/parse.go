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

// DefaultTimeout is the timeout of kinds of request that set none.
const DefaultTimeout = 5 * time.Second

type (
	// Problem is one error in a case file.
	Problem struct {
		File string
		Line int
		// Field is a path such as services[0].name or, for errors of the YAML
		// library, a key. It may be empty.
		Field   string
		Message string
	}

	// Problems is an error that holds all problems found in a case file.
	Problems []Problem

	// tokenError is an error of the YAML library that holds the token at
	// which it occurred.
	tokenError interface {
		error
		GetToken() *token.Token
		GetMessage() string
	}

	// validator collects the problems of a case. It uses the syntax tree
	// only to find line numbers.
	validator struct {
		file     string
		tree     *ast.File
		problems Problems
	}
)

// quotedValue matches the quoted value in an error message.
var quotedValue = regexp.MustCompile(`"([^"]*)"`)

// String returns the problem as "file:line: field: message".
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Parse parses and validates a case file. Its errors have the type Problems.
func Parse(file string, text []byte) (*Case, error) {
	c := &Case{}
	if err := yaml.UnmarshalWithOptions(text, c, yaml.Strict()); err != nil {
		return nil, Problems{newProblem(file, text, err)}
	}
	tree, err := parser.ParseBytes(text, 0)
	if err != nil {
		return nil, Problems{newProblem(file, text, err)}
	}
	c.setDefaults()
	v := &validator{file: file, tree: tree}
	v.validate(c)
	if len(v.problems) > 0 {
		slices.SortStableFunc(v.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
		return nil, v.problems
	}
	return c, nil
}

// newProblem converts an error of the YAML library to a Problem.
func newProblem(file string, text []byte, err error) Problem {
	p := Problem{File: file, Line: 1, Message: err.Error()}
	var (
		tokenErr tokenError
		t        *token.Token
	)
	if errors.As(err, &tokenErr) {
		p.Message, t = tokenErr.GetMessage(), tokenErr.GetToken()
	} else if m := quotedValue.FindStringSubmatch(err.Error()); m != nil {
		t = findToken(text, m[1])
	}
	if t != nil {
		p.Line, p.Field = t.Position.Line, fieldName(t)
	}
	return p
}

// findToken returns the first token with the value, or nil. It locates invalid
// durations, as the library's errors about them hold only the value.
func findToken(text []byte, value string) *token.Token {
	for _, t := range lexer.Tokenize(string(text)) {
		if t.Value == value {
			return t
		}
	}
	return nil
}

// fieldName returns the nearest key before the token, or the token's own value
// if it is a key.
func fieldName(t *token.Token) string {
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

// setDefaults sets the optional fields that the case file leaves out.
func (c *Case) setDefaults() {
	for i := range c.Services {
		for j := range c.Services[i].Kinds {
			kind := &c.Services[i].Kinds[j]
			if kind.Timeout == 0 {
				kind.Timeout = DefaultTimeout
			}
			if kind.Method == "" {
				kind.Method = "GET"
			}
			if kind.Weight == 0 {
				kind.Weight = 1
			}
		}
	}
	for i := range c.Phases {
		if c.Phases[i].Factor == 0 {
			c.Phases[i].Factor = 1
		}
	}
}

// add adds a problem of the field at the path.
func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, Problem{v.file, v.line(path), strings.TrimPrefix(path, "$."), fmt.Sprintf(format, args...)})
}

// line returns the line of the field at the path, or of its nearest parent if
// the file does not have the field.
func (v *validator) line(path string) int {
	for path != "$" {
		if p, err := yaml.PathString(path); err == nil {
			if n, err := p.FilterFile(v.tree); err == nil && n != nil {
				return n.GetToken().Position.Line
			}
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 1)]
	}
	return 1
}
