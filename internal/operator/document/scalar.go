package document

import (
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// unitFactors maps units of sizes and rates, in lower case, to bytes or bytes per
// second.
var unitFactors = map[string]float64{
	"": 1, "b": 1, "kb": 1e3, "mb": 1e6, "gb": 1e9,
	"kib": 1 << 10, "mib": 1 << 20, "gib": 1 << 30,
	"bit": 1. / 8, "kbit": 1e3 / 8, "mbit": 1e6 / 8, "gbit": 1e9 / 8,
}

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	amountPattern = regexp.MustCompile(`^([0-9]+(?:\.[0-9]+)?) ?([A-Za-z]*)(/s)?$`)
)

// Text reads a string, and reports an empty one.
func (n Node) Text() string {
	switch v := n.value.(type) {
	case nil:
		return ""
	case *ast.StringNode:
		return n.requireNonEmpty(v.Value)
	case *ast.LiteralNode:
		return n.requireNonEmpty(v.Value.Value)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		n.Problem("must be text; put %s in quotes", v.GetToken().Value)
	default:
		n.Problem("must be text, not %s", describeKind(n.value))
	}
	return ""
}

// requireNonEmpty reports an empty string, and returns s.
func (n Node) requireNonEmpty(s string) string {
	if s == "" {
		n.Problem("is empty")
	}
	return s
}

// Name reads a name of at most 63 lower-case letters, digits, dots, dashes and
// underscores, which starts and ends with a letter or digit.
func (n Node) Name() string {
	s := n.Text()
	if s == "" {
		return ""
	}
	if !namePattern.MatchString(s) {
		n.Problem("%q is not a name (a-z, 0-9, '.', '_' and '-' inside, at most 63)", s)
		return ""
	}
	return s
}

// Texts reads a list of strings.
func (n Node) Texts() []string {
	var out []string
	for _, item := range n.Items() {
		out = append(out, item.Text())
	}
	return out
}

// Bool reads true or false. It returns fallback if the value is missing or invalid.
func (n Node) Bool(fallback bool) bool {
	if !n.Exists() {
		return fallback
	}
	b, ok := n.value.(*ast.BoolNode)
	if !ok {
		n.Problem("must be true or false, not %s", describeKind(n.value))
		return fallback
	}
	return b.Value
}

// Int reads a whole number from low to high. It returns fallback if the value is
// missing or invalid.
func (n Node) Int(fallback, low, high int) int {
	if !n.Exists() {
		return fallback
	}
	i, ok := n.value.(*ast.IntegerNode)
	if !ok {
		n.Problem("must be a whole number, not %s", describeKind(n.value))
		return fallback
	}
	v, ok := toInt64(i.Value)
	if !ok || v < int64(low) || v > int64(high) {
		n.Problem("%s is not from %d to %d", i.GetToken().Value, low, high)
		return fallback
	}
	return int(v)
}

// Float reads a number from low to high. It returns fallback if the value is missing
// or invalid.
func (n Node) Float(fallback, low, high float64) float64 {
	if !n.Exists() {
		return fallback
	}
	var v float64
	switch f := n.value.(type) {
	case *ast.FloatNode:
		v = f.Value
	case *ast.IntegerNode:
		i, _ := toInt64(f.Value)
		v = float64(i)
	default:
		n.Problem("must be a number, not %s", describeKind(n.value))
		return fallback
	}
	if !(v >= low && v <= high) {
		n.Problem("%v is not from %v to %v", v, low, high)
		return fallback
	}
	return v
}

// Duration reads a duration such as 250ms, from low to high. It returns fallback if
// the value is missing or invalid.
func (n Node) Duration(fallback, low, high time.Duration) time.Duration {
	if !n.Exists() {
		return fallback
	}
	d, err := time.ParseDuration(n.scalarText())
	if err != nil {
		n.Problem("must be a duration such as 250ms, 30s or 2h")
		return fallback
	}
	if d < low || d > high {
		n.Problem("%v is not from %v to %v", d, low, high)
		return fallback
	}
	return d
}

// Time reads an RFC 3339 time and returns it in UTC, or the zero time if the value is
// missing or invalid.
func (n Node) Time() time.Time {
	if !n.Exists() {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, n.scalarText())
	if err != nil {
		n.Problem("must be a time such as 2026-12-07T06:00:00+07:00")
		return time.Time{}
	}
	return t.UTC().Round(0)
}

// AddrPort reads an IP address and port. Port 0 and IPv6 zones are not accepted.
func (n Node) AddrPort() netip.AddrPort {
	if !n.Exists() {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(n.scalarText())
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		n.Problem("must be an IP address and port such as 10.0.0.1:8080")
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Prefix reads a block of IP addresses in CIDR notation.
func (n Node) Prefix() netip.Prefix {
	if !n.Exists() {
		return netip.Prefix{}
	}
	p, err := netip.ParsePrefix(n.scalarText())
	if err != nil || p.Addr().Is4In6() {
		n.Problem("must be a block of addresses such as 10.1.0.0/16")
		return netip.Prefix{}
	}
	if p != p.Masked() {
		n.Problem("has bits set beyond its length; did you mean %v?", p.Masked())
		return netip.Prefix{}
	}
	return p
}

// Size reads a number of bytes such as 8MB or 64KiB, from low to high. It returns
// fallback if the value is missing or invalid.
func (n Node) Size(fallback, low, high int64) int64 {
	return n.amount(fallback, low, high, false)
}

// Rate reads a rate such as 280Mbit or 35MB/s, and returns it in bytes per second,
// from low to high. It returns fallback if the value is missing or invalid.
func (n Node) Rate(fallback, low, high int64) int64 {
	return n.amount(fallback, low, high, true)
}

func (n Node) amount(fallback, low, high int64, rate bool) int64 {
	if !n.Exists() {
		return fallback
	}
	example := "8MB or 64KiB"
	if rate {
		example = "280Mbit or 35MB/s"
	}
	m := amountPattern.FindStringSubmatch(n.scalarText())
	if m == nil || m[3] != "" && !rate {
		n.Problem("must be an amount such as %s", example)
		return fallback
	}
	unit, ok := unitFactors[strings.ToLower(m[2])]
	if !ok || strings.HasSuffix(strings.ToLower(m[2]), "bit") && !rate {
		n.Problem("has the unknown unit %q; an example is %s", m[2], example)
		return fallback
	}
	v, _ := strconv.ParseFloat(m[1], 64)
	v = math.Round(v * unit)
	if !(v >= float64(low) && v <= float64(high)) {
		n.Problem("%s is not from %d to %d bytes", n.scalarText(), low, high)
		return fallback
	}
	return int64(v)
}

// scalarText returns the text of a scalar as written in the file, or "" for another
// kind of value.
func (n Node) scalarText() string {
	switch v := n.value.(type) {
	case *ast.StringNode:
		return v.Value
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return strings.TrimSpace(v.GetToken().Value)
	}
	return ""
}

// toInt64 converts the parser's value of an integer. The second result is false if
// the value does not fit.
func toInt64(v any) (int64, bool) {
	switch i := v.(type) {
	case int64:
		return i, true
	case uint64:
		return int64(min(i, math.MaxInt64)), i <= math.MaxInt64
	}
	return 0, false
}
