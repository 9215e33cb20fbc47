package document

import (
	"strings"
	"testing"
	"time"
)

// TestParseBounds checks that files which would take the parser too much time or
// stack are rejected with one problem.
func TestParseBounds(t *testing.T) {
	for _, s := range []string{
		strings.Repeat("[", 1<<20), strings.Repeat("- ", 1<<20), strings.Repeat("a: {", 1<<18),
		strings.Repeat("x", MaxSize+1),
	} {
		r := &Report{}
		if n := Parse("f", []byte(s), r); n.Exists() || len(r.Problems) != 1 {
			t.Errorf("%.8s...: %t, %v", s, n.Exists(), r.Problems)
		}
	}
}

func TestScalars(t *testing.T) {
	const text = `
duration: 90s
rate: 280Mbit
rates: [280Mbit/s, 35MB/s, 35000000, 1 Gbit, 0.5MB]
size: 8MB
sizes: [64KiB, 0B, 512, 1.5kB]
time: 2026-12-07T06:00:00+07:00
address: "[::ffff:127.0.0.1]:80"
float: 2.5
whole: 1_000
`
	r := &Report{}
	f := Parse("f", []byte(text), r).Fields("duration", "rate", "rates", "size", "sizes", "time", "address", "float", "whole")
	check := func(name string, got, want any) {
		if got != want {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	const most = 1 << 40
	check("duration", f.Get("duration").Duration(0, 0, time.Hour), 90*time.Second)
	check("rate", f.Get("rate").Rate(0, 0, most), int64(35_000_000))
	for i, want := range []int64{35_000_000, 35_000_000, 35_000_000, 125_000_000, 500_000} {
		check("rates", f.Get("rates").Items()[i].Rate(0, 0, most), want)
	}
	check("size", f.Get("size").Size(0, 0, most), int64(8_000_000))
	for i, want := range []int64{64 << 10, 0, 512, 1500} {
		check("sizes", f.Get("sizes").Items()[i].Size(0, 0, most), want)
	}
	check("time", f.Get("time").Time(), time.Date(2026, 12, 6, 23, 0, 0, 0, time.UTC))
	check("address", f.Get("address").AddrPort().String(), "127.0.0.1:80")
	check("float", f.Get("float").Float(0, 0, 9), 2.5)
	check("whole", f.Get("whole").Int(0, 0, 9999), 1000)
	check("absent", f.Get("absent").Int(7, 0, 9), 7)
	check("problems", r.String(), "")
}
