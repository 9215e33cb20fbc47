package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	orders = 10

	// again marks the attempt of a client that sends its order once more.
	again = "-again"
)

// ranThenFailed plays servers that run an order and answer that they failed, and reports
// whether a client was told that its order has not run.
func ranThenFailed(w *world, trouble bool) bool {
	servers := []*server{w.startServer("i-order-1", "orders", 50*time.Millisecond), w.startServer("i-order-2", "orders", 50*time.Millisecond)}
	w.configure(ordersRow)
	vms := []*vm{w.startVM(1), w.startVM(2)}
	for _, v := range vms {
		w.warmUp(v)
	}
	failing := make(map[string]bool)
	for i := 1; i < orders; i += 2 {
		failing[fmt.Sprintf("order-%d", i)] = true
	}
	if trouble {
		for _, s := range servers {
			s.setAnswer(func(rw http.ResponseWriter, r run) {
				rw.Header().Set("X-Response-Stamp", "stamp-"+s.id+"-"+r.id)
				if failing[r.id] {
					rw.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		}
	}
	statuses := make(map[string]int)
	for i := range orders {
		id := fmt.Sprintf("order-%d", i)
		statuses[id] = w.send(vms[i%2], "orders.example", "/orders/"+id, id, teamKey, []byte("an order"))
		if statuses[id] == http.StatusServiceUnavailable {
			// The status promises that the order has not run, so the client sends it again.
			w.send(vms[i%2], "orders.example", "/orders/"+id, id+again, teamKey, []byte("an order"))
		}
	}
	broken, runs := 0, make(map[string]int)
	for _, s := range servers {
		for _, r := range s.all() {
			runs[r.path]++
			switch statuses[r.id] {
			case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
				broken++
				w.note("REFUSED: %s was answered %d, and %s has run it", r.id, statuses[r.id], s.id)
			}
		}
	}
	for path, n := range runs {
		if n > 1 && path != "/orders/warm" {
			w.note("the order %s ran %d times", path, n)
		}
	}
	w.note("%d of %d orders were refused though they had run", broken, orders)
	return broken > 0
}
