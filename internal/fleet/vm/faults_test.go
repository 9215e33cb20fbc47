package vm

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"sassafrastray"
	executions "sassafrastray/internal/standin/execlog"
)

// plans are the faults of backend servers, by name.
var plans = map[string]string{
	"none":   "{}",
	"shed":   "shed: true",
	"cut":    "cut: 1",
	"cross":  "cross: 1",
	"late":   "late: {chance: 0.7, by: 350ms}",
	"die":    "die: true",
	"silent": "silent: true",
	"drain":  "drain: true",
	"fail":   "bad: {fail: 1}",
}

var planNames = []string{"none", "shed", "cut", "cross", "late", "die", "silent", "fail"}

// TestRequestsWithBackendFaults sends requests through three VMs while backend
// servers shed load, cut off answers, swap them, delay them, crash and stop
// responding. It compares the answers that callers got with what the backend
// servers executed.
func TestRequestsWithBackendFaults(t *testing.T) {
	w := newWorld(t, []sassafrastray.DomainName{"d1", "d2", "d3"}, 4)
	serial := 0
	rapid.Check(t, func(rt *rapid.T) {
		// Most servers have no fault, so that those with one are not all taken
		// out of use before a request meets the fault.
		w.setFaults("*", plans["none"])
		for range rapid.IntRange(0, 3).Draw(rt, "faulty") {
			b := rapid.IntRange(0, 11).Draw(rt, "server")
			w.setFaults(fmt.Sprintf("b-%d", b), plans[rapid.SampledFrom(planNames).Draw(rt, "fault")])
		}
		n := rapid.IntRange(6, 24).Draw(rt, "requests")
		got := make([]answer, n)
		var wg sync.WaitGroup
		for i := range n {
			serial++
			r := request{path: "/orders", order: fmt.Sprintf("o%d", serial)}
			r.method = rapid.SampledFrom([]string{"GET", "POST"}).Draw(rt, "method")
			r.key = rapid.SampledFrom([]string{goodKey, goodKey, goodKey, otherKey, "sk_test_unknown_0123456789", ""}).Draw(rt, "key")
			if r.method == "POST" {
				r.body = make([]byte, rapid.SampledFrom([]int{0, 100, 20000}).Draw(rt, "size"))
			}
			vm := rapid.IntRange(0, 2).Draw(rt, "vm")
			wg.Go(func() { got[i] = w.ask(vm, r) })
		}
		wg.Wait()
		runs := make(map[string][]executions.Entry)
		for _, e := range w.executed() {
			runs[e.OrderID] = append(runs[e.OrderID], e)
		}
		for _, a := range got {
			checkAnswer(rt, a, runs[a.order])
		}
	})
}

// checkAnswer compares one answer with the executions of its request.
func checkAnswer(t *rapid.T, a answer, runs []executions.Entry) {
	if a.method == "POST" && len(runs) > 1 {
		t.Fatalf("%s was executed %d times: %+v", a.order, len(runs), runs)
	}
	if a.result == string(sassafrastray.ResultNotRun) && len(runs) > 0 {
		t.Fatalf("%s was answered not-run (%s) but executed: %+v", a.order, a.reason, runs)
	}
	if a.key != goodKey && len(runs) > 0 {
		t.Fatalf("%s was executed with key %q", a.order, a.key)
	}
	for _, e := range runs {
		if e.Team != "good" || e.HasKey {
			t.Fatalf("%s reached a backend server as team %q, key seen: %v", a.order, e.Team, e.HasKey)
		}
	}
	if a.err != nil {
		return
	}
	if a.result == "" {
		t.Fatalf("%s was answered %d without a result", a.order, a.status)
	}
	if a.status == fasthttp.StatusOK {
		var b struct{ ID, Order string }
		if err := json.Unmarshal(a.body, &b); err != nil || b.Order != a.order || b.ID != a.id {
			t.Fatalf("%s got %q (%v) as the answer to %s", a.order, a.body, err, a.id)
		}
	}
}
