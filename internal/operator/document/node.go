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
	// Node is a value in a document, or the place of a missing one. The methods
	// that read a value report a value of another type or out of range.
	Node struct {
		report *Report
		file   string
		field  string
		line   int
		value  ast.Node
	}

	// Fields holds the values of a mapping by field name.
	Fields struct {
		node   Node
		values map[string]Node
	}
)

// MaxSize is the size in bytes of the largest YAML file that is read. Longer lists
// are kept in files of other formats.
const MaxSize = 4 << 20

// maxDepth bounds the nesting of brackets, and of dashes within a line. The parser
// recurses for each level and takes quadratic time in the depth.
const maxDepth = 64

// Parse parses a file that holds one YAML document. It adds syntax errors to the
// report, and then returns a node that does not exist.
func Parse(file string, data []byte, r *Report) Node {
	n := Node{report: r, file: file, line: 1}
	if len(data) > MaxSize {
		n.Problem("is larger than %d bytes", MaxSize)
		return n
	}
	if nestsTooDeep(data) {
		n.Problem("nests brackets or dashes more than %d deep", maxDepth)
		return n
	}
	body, err := parseYAML(data)
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
		n.value = nonNull(body.Docs[0].Body)
	default:
		n.line = lineOf(body.Docs[1].Body, 1)
		n.Problem("holds more than one document")
	}
	return n
}

// parseYAML parses a file and turns a panic of the parser into an error, because no
// file content may stop the process.
func parseYAML(data []byte) (f *ast.File, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Newf("is not YAML: %v", p)
		}
	}()
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}

// nestsTooDeep reports whether brackets, or dashes on one line, nest deeper than
// maxDepth. It also counts brackets in strings; realistic files stay below the
// limit.
func nestsTooDeep(data []byte) bool {
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

// nonNull returns nil for an empty value, so that "field:" counts as missing.
func nonNull(n ast.Node) ast.Node {
	switch n.(type) {
	case *ast.NullNode, *ast.CommentGroupNode:
		return nil
	}
	return n
}

// lineOf returns the line of n, or fallback if it has none.
func lineOf(n ast.Node, fallback int) int {
	if n == nil || n.GetToken() == nil {
		return fallback
	}
	return n.GetToken().Position.Line
}

// Exists reports whether the document has the value.
func (n Node) Exists() bool { return n.value != nil }

// File returns the name of the node's file.
func (n Node) File() string { return n.file }

// Line returns the node's line, or its parent's line if it does not exist.
func (n Node) Line() int { return n.line }

// Problem adds an error at the node to the report.
func (n Node) Problem(format string, args ...any) {
	n.report.Add(Problem{File: n.file, Line: n.line, Field: n.field, Text: fmt.Sprintf(format, args...)})
}

// Warn adds a warning at the node to the report.
func (n Node) Warn(format string, args ...any) {
	n.report.Add(Problem{File: n.file, Line: n.line, Field: n.field, Text: fmt.Sprintf(format, args...), Warning: true})
}

// Get returns a field of a mapping, without checking the mapping. It is meant
// for reporting problems at the field.
func (n Node) Get(name string) Node {
	for _, v := range entries(n.value) {
		if keyName(v) == name {
			return n.child(v)
		}
	}
	return n.absentField(name)
}

// Fields reads a mapping with the given field names. It reports unknown and
// duplicate fields.
func (n Node) Fields(names ...string) Fields {
	f := Fields{node: n, values: map[string]Node{}}
	if !n.Exists() {
		return f
	}
	if !isMapping(n.value) {
		n.Problem("must hold fields, not %s", describeKind(n.value))
		return f
	}
	known := map[string]bool{}
	for _, name := range names {
		known[name] = true
	}
	for _, v := range entries(n.value) {
		c, name := n.child(v), keyName(v)
		_, duplicate := f.values[name]
		switch {
		case !known[name]:
			c.Problem("is an unknown field; known are %s", strings.Join(names, ", "))
		case duplicate:
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
	return f.node.absentField(name)
}

// Required returns a field and reports it if it does not exist.
func (f Fields) Required(name string) Node {
	v := f.Get(name)
	if !v.Exists() && f.node.IsMapping() {
		v.Problem("is missing")
	}
	return v
}

// Items returns the values of a list and reports empty ones, which it leaves out.
func (n Node) Items() []Node {
	if !n.Exists() {
		return nil
	}
	seq, ok := n.value.(*ast.SequenceNode)
	if !ok {
		n.Problem("must be a list, not %s", describeKind(n.value))
		return nil
	}
	out := make([]Node, 0, len(seq.Values))
	for i, v := range seq.Values {
		c := Node{report: n.report, file: n.file, field: fmt.Sprintf("%s[%d]", n.field, i), line: lineOf(v, n.line), value: nonNull(v)}
		if e := entries(c.value); len(e) > 0 {
			c.line = lineOf(e[0].Key, c.line)
		}
		if !c.Exists() {
			c.Problem("is empty")
			continue
		}
		out = append(out, c)
	}
	return out
}

// Names returns the names of a mapping's fields, in the document's order.
func (n Node) Names() []string {
	var out []string
	for _, v := range entries(n.value) {
		out = append(out, keyName(v))
	}
	return out
}

// IsMapping reports whether the node is a mapping.
func (n Node) IsMapping() bool { return isMapping(n.value) }

func (n Node) absentField(name string) Node {
	return Node{report: n.report, file: n.file, field: n.fieldPath(name), line: n.line}
}

func (n Node) child(v *ast.MappingValueNode) Node {
	return Node{
		report: n.report, file: n.file, field: n.fieldPath(keyName(v)),
		line: lineOf(v.Key, n.line), value: nonNull(v.Value),
	}
}

func (n Node) fieldPath(name string) string {
	if n.field == "" {
		return name
	}
	return n.field + "." + name
}

func keyName(v *ast.MappingValueNode) string {
	if s, ok := v.Key.(*ast.StringNode); ok {
		return s.Value
	}
	if t := v.Key.GetToken(); t != nil {
		return t.Value
	}
	return ""
}

// entries returns the entries of a mapping. The parser has a separate type for a
// mapping with one entry.
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

// describeKind returns a description of the value's type for messages.
func describeKind(n ast.Node) string {
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

// IsList reports whether the node is a list.
func (n Node) IsList() bool {
	_, ok := n.value.(*ast.SequenceNode)
	return ok
}
