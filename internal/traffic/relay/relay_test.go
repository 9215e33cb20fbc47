package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray"
)

// helpers parses NAME/REGION/DISTANCE/CORES words.
func helpers(t *testing.T, text string) (out []Helper) {
	t.Helper()
	for w := range strings.FieldsSeq(text) {
		p := strings.Split(w, "/")
		d, err := time.ParseDuration(p[2])
		if err != nil {
			t.Fatal(err)
		}
		h := Helper{VM: sassafrastray.VM{Name: sassafrastray.VMName(p[0])}, Region: sassafrastray.RegionName(p[1]), Distance: d}
		if _, err := fmt.Sscan(p[3], &h.VM.Cores); err != nil {
			t.Fatal(err)
		}
		out = append(out, h)
	}
	return out
}

// TestPick checks which helpers requests go to that run at the same time: those of the
// nearest region that the rules allow, by their capacity.
func TestPick(t *testing.T) {
	homes := func(names ...sassafrastray.RegionName) [2][]sassafrastray.RegionName {
		return [2][]sassafrastray.RegionName{names, nil}
	}
	for _, c := range []struct {
		name, helpers string
		regions       [2][]sassafrastray.RegionName
		exclude       []sassafrastray.VMName
		requests      int
		want          map[sassafrastray.VMName]int
	}{
		{"none", "", homes(), nil, 1, nil},
		{"nearest region", "a/n/0s/1 b/s/20ms/1 c/w/50ms/1", homes(), nil, 4, map[sassafrastray.VMName]int{"a": 4}},
		{"nearest other region", "b/s/20ms/1 c/w/50ms/1", homes(), nil, 4, map[sassafrastray.VMName]int{"b": 4}},
		{"home", "a/n/0s/1 b/s/20ms/1 c/w/50ms/1", homes("w"), nil, 4, map[sassafrastray.VMName]int{"c": 4}},
		{"two rules", "a/n/0s/1 b/s/20ms/1 c/w/50ms/1", [2][]sassafrastray.RegionName{{"n", "s"}, {"s", "w"}}, nil, 2, map[sassafrastray.VMName]int{"b": 2}},
		{"no home", "a/n/0s/1", homes("w"), nil, 1, nil},
		{"excluded", "a/n/0s/1 b/s/20ms/1", homes(), []sassafrastray.VMName{"a"}, 2, map[sassafrastray.VMName]int{"b": 2}},
		{"by capacity", "a/n/0s/0.2 b/n/0s/0.8", homes(), nil, 10, map[sassafrastray.VMName]int{"a": 2, "b": 8}},
		{"unknown capacity", "a/n/0s/0 b/n/0s/0", homes(), nil, 10, map[sassafrastray.VMName]int{"a": 5, "b": 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			table.Update(helpers(t, c.helpers))
			got := map[sassafrastray.VMName]int{}
			for range c.requests {
				if vm, ok := table.Pick(c.regions, c.exclude); ok {
					got[vm.Name]++
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
			for name, n := range got {
				for range n {
					table.Done(name)
				}
			}
			if len(table.active) > 0 {
				t.Errorf("active requests are left: %v", table.active)
			}
		})
	}
}

// TestHeaders checks that what one VM writes the other one reads and removes, and that
// anything else is an error.
func TestHeaders(t *testing.T) {
	var q fasthttp.RequestHeader
	request := Request{Config: 12, Tries: 2, First: true}
	request.Write(&q)
	if got, err := ReadRequest(&q); err != nil || got != request || IsRelayed(&q) {
		t.Errorf("%v, %v, want %v", got, err, request)
	}
	for _, r := range []Result{
		{Backend: "i-1"},
		{Reason: sassafrastray.ReasonBusy, Result: sassafrastray.ResultNotRun, Wait: time.Second, Detail: "tëxt\r\nX: y"},
	} {
		var d fasthttp.ResponseHeader
		r.Write(&d)
		if got, err := ReadResult(&d); err != nil || got != r || len(d.Peek(Header)) > 0 {
			t.Errorf("%v, %v, want %v", got, err, r)
		}
	}
	for _, text := range []string{"", "{}", "[]", `{"backend":"i-1","reason":"busy"}`, `{"reason":7}`, `{"wait":1e99}`, "\x00"} {
		var d fasthttp.ResponseHeader
		d.Set(Header, text)
		if got, err := ReadResult(&d); err == nil {
			t.Errorf("%q: read as %v", text, got)
		}
	}
}
