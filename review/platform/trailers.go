package main

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// forgedTrailers sends requests in chunks whose trailer names another team, or repeats
// the client's key, and reports whether a server ran one for another team than the
// client's, or got the key.
func forgedTrailers(w *world, trouble bool) bool {
	s := w.startServer("i-order-1", "orders", 50*time.Millisecond)
	w.configure(ordersRow, publicRow)
	v := w.startVM(1)
	w.warmUp(v)
	sent := make(map[string]bool)
	for i := range 10 {
		id, host, path, trailer := fmt.Sprintf("public-%d", i), "public.example", "/public/1", "X-Tenant: "+otherTeam+"\r\n"
		if i%2 == 1 {
			id, host, path, trailer = fmt.Sprintf("order-%d", i), "orders.example", "/orders/1", "X-Api-Key: "+teamKey+"\r\n"
		}
		if !trouble {
			trailer = ""
		}
		sent[id] = true
		w.note("client of team %s sends %s to %s with the trailer %q", teamName, id, host, trailer)
		c := w.dial(v)
		_, _ = io.WriteString(c, head(host, path, id, teamKey, "Transfer-Encoding: chunked")+"5\r\nhello\r\n0\r\n"+trailer+"\r\n")
		w.receive(c, id)
		_ = c.Close()
	}
	broken := 0
	for _, r := range s.all() {
		foreign := slices.ContainsFunc(r.tenants, func(t string) bool { return t != teamName })
		if sent[r.id] && (foreign || len(r.keys) > 0) {
			broken++
			w.note("FORGED: %s ran for the tenants %q, with the keys %q; its client is %s", r.id, r.tenants, r.keys, teamName)
		}
	}
	w.note("%d of %d requests ran for another team or with the key", broken, len(sent))
	return broken > 0
}
