package document

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

type (
	// Node is a value in a document, or the place where one is absent.
	Node struct {
		report *Report
		file   string
		field  string
		line   int
		value  ast.Node
	}

	// Fields is a mapping's values by name.
	Fields struct {
		node   Node
		values map[string]Node
	}
)

// MaxSize is the size of the largest YAML file that is read, in bytes. Lists
// that grow beyond it have formats of their own.
const MaxSize = 4 << 20

// maxDepth bounds the nesting within a line, which the parser follows by
// recursion and in quadratic time.
const maxDepth = 64

// Parse reads one YAML document. Mistakes of syntax go to the report, and the
// node is then absent.
func Parse(file string, data []byte, r *Report) Node {
	n := Node{report: r, file: file, line: 1}
	if len(data) > MaxSize {
		n.Problem("is larger than %d bytes", MaxSize)
		return n
	}
	if deep(data) {
		n.Problem("nests brackets or dashes more than %d deep", maxDepth)
		return n
	}
	body, err := parse(data)
	if err != nil {
		var syntax *yaml.SyntaxError
		if errors.As(err, &syntax) {
			n.line = max(1, syntax.GetToken().Position.Line)
			n.Problem("%s", syntax.GetMessage())
			return n
		}
		n.Problem("%s", strings.SplitN(err.Error(), "\n", 2)[0])
		return n
	}
	switch len(body.Docs) {
	case 0:
	case 1:
		n.value = plain(body.Docs[0].Body)
	default:
		n.line = line(body.Docs[1].Body, 1)
		n.Problem("holds a second document; a file holds one")
	}
	return n
}

// parse turns a panic of the parser into an error: a file must never stop the
// process, whatever is in it.
func parse(data []byte) (f *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Newf("is not YAML: %v", p)
		}
	}()
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}

// deep tells whether brackets, or dashes on one line, nest beyond maxDepth.
// Brackets inside strings count too, which no sensible file notices.
func deep(data []byte) bool {
	depth, dashes := 0, 0
	for i, c := range data {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		case '-':
			if i+1 < len(data) && data[i+1] == ' ' {
				dashes++
			}
		case '\n':
			dashes = 0
		}
		if depth > maxDepth || dashes > maxDepth {
			return true
		}
	}
	return false
}

// plain returns nil for an empty value, so that "field:" reads as absent.
func plain(n ast.Node) ast.Node {
	switch n.(type) {
	case *ast.NullNode, *ast.CommentGroupNode:
		return nil
	}
	return n
}

func line(n ast.Node, otherwise int) int {
	if n == nil || n.GetToken() == nil {
		return otherwise
	}
	return n.GetToken().Position.Line
}

// Exists tells whether the document has the value.
func (n Node) Exists() bool { return n.value != nil }

// File returns the name of the node's file.
func (n Node) File() string { return n.file }

// Line returns the node's line, or its parent's if it is absent.
func (n Node) Line() int { return n.line }

// Problem reports a mistake at the node.
func (n Node) Problem(format string, args ...any) {
	n.report.Add(Problem{File: n.file, Line: n.line, Field: n.field, Text: fmt.Sprintf(format, args...)})
}

// Warn reports something doubtful at the node.
func (n Node) Warn(format string, args ...any) {
	n.report.Add(Problem{File: n.file, Line: n.line, Field: n.field, Text: fmt.Sprintf(format, args...), Warning: true})
}

// Get returns a field of a mapping for a report on it, without a check.
func (n Node) Get(name string) Node {
	for _, v := range entries(n.value) {
		if keyOf(v) == name {
			return n.child(v)
		}
	}
	return n.absent(name)
}

// Fields reads a mapping with the given field names. It reports unknown and
// repeated fields.
func (n Node) Fields(names ...string) Fields {
	f := Fields{node: n, values: map[string]Node{}}
	if !n.Exists() {
		return f
	}
	if !isMapping(n.value) {
		n.Problem("must hold fields, not %s", kind(n.value))
		return f
	}
	known := map[string]bool{}
	for _, name := range names {
		known[name] = true
	}
	for _, v := range entries(n.value) {
		c, name := n.child(v), keyOf(v)
		_, again := f.values[name]
		switch {
		case !known[name]:
			c.Problem("is an unknown field; known are %s", strings.Join(names, ", "))
		case again:
			c.Problem("is given twice")
		default:
			f.values[name] = c
		}
	}
	return f
}

// Get returns an optional field.
func (f Fields) Get(name string) Node {
	if v, ok := f.values[name]; ok {
		return v
	}
	return f.node.absent(name)
}

// Need returns a field and reports it if it is absent.
func (f Fields) Need(name string) Node {
	v := f.Get(name)
	if !v.Exists() && f.node.IsMapping() {
		v.Problem("is missing")
	}
	return v
}

// Items returns the values of a list.
func (n Node) Items() []Node {
	if !n.Exists() {
		return nil
	}
	seq, ok := n.value.(*ast.SequenceNode)
	if !ok {
		n.Problem("must be a list, not %s", kind(n.value))
		return nil
	}
	out := make([]Node, 0, len(seq.Values))
	for i, v := range seq.Values {
		c := Node{report: n.report, file: n.file, field: fmt.Sprintf("%s[%d]", n.field, i), line: line(v, n.line), value: plain(v)}
		if e := entries(c.value); len(e) > 0 {
			c.line = line(e[0].Key, c.line)
		}
		if !c.Exists() {
			c.Problem("is empty")
			continue
		}
		out = append(out, c)
	}
	return out
}

// Names returns the names of a mapping's fields, in their order.
func (n Node) Names() []string {
	var out []string
	for _, v := range entries(n.value) {
		out = append(out, keyOf(v))
	}
	return out
}

// IsMapping tells whether the node holds fields.
func (n Node) IsMapping() bool { return isMapping(n.value) }

func (n Node) absent(name string) Node {
	return Node{report: n.report, file: n.file, field: n.join(name), line: n.line}
}

func (n Node) child(v *ast.MappingValueNode) Node {
	return Node{
		report: n.report, file: n.file, field: n.join(keyOf(v)),
		line: line(v.Key, n.line), value: plain(v.Value),
	}
}

func (n Node) join(name string) string {
	if n.field == "" {
		return name
	}
	return n.field + "." + name
}

func keyOf(v *ast.MappingValueNode) string {
	if s, ok := v.Key.(*ast.StringNode); ok {
		return s.Value
	}
	if t := v.Key.GetToken(); t != nil {
		return t.Value
	}
	return ""
}

// entries returns the entries of a mapping. The parser gives a mapping with
// one entry a type of its own.
func entries(n ast.Node) []*ast.MappingValueNode {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}
	}
	return nil
}

func isMapping(n ast.Node) bool {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return true
	}
	return false
}

// kind names what a value is, for messages.
func kind(n ast.Node) string {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "fields"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode:
		return "a whole number"
	case *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a fraction"
	case *ast.BoolNode:
		return "true or false"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		return "an anchor or alias, which are not supported"
	case *ast.TagNode:
		return "a tag, which is not supported"
	}
	return "something else"
}

// IsList tells whether the node is a list.
func (n Node) IsList() bool {
	_, ok := n.value.(*ast.SequenceNode)
	return ok
}
