package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	orderWork = 1200 * time.Millisecond
	callers   = 12
)

// reloadWhileStopping stops a VM that has orders under way, changes its settings file
// meanwhile and sends SIGHUP, and reports whether an order was cut off without an answer.
func reloadWhileStopping(w *world, trouble bool) bool {
	servers := []*server{w.startServer("i-order-1", "orders", 10*time.Millisecond), w.startServer("i-order-2", "orders", 10*time.Millisecond)}
	w.configure(ordersRow)
	v := w.startVM(1)
	w.startVM(2)
	settle()
	w.warmUp(v)
	var channels []net.Conn
	for i := range callers {
		c := w.dial(v)
		id := fmt.Sprintf("first-%d", i)
		_, _ = io.WriteString(c, head("orders.example", "/orders/1", id, teamKey, "Content-Length: 5")+"order")
		if w.receive(c, id) != http.StatusOK {
			w.fail("the first order on a channel was not served")
		}
		channels = append(channels, c)
	}
	for _, s := range servers {
		s.setWork(orderWork)
	}
	statuses := make([]int, callers)
	var wg sync.WaitGroup
	for i, c := range channels {
		_ = c.SetDeadline(time.Now().Add(requestTime))
		id := fmt.Sprintf("order-%d", i)
		w.note("client sends %s on its kept channel to %s", id, v.name)
		_, _ = io.WriteString(c, head("orders.example", "/orders/1", id, teamKey, "Content-Length: 5")+"order")
		wg.Go(func() { statuses[i] = w.receive(c, id) })
	}
	time.Sleep(200 * time.Millisecond)
	w.note("%s gets SIGTERM", v.name)
	_ = v.cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(400 * time.Millisecond)
	if trouble {
		file := filepath.Join(w.dir, v.name+".yaml")
		b, err := os.ReadFile(file)
		if err != nil {
			w.fail("%v", err)
		}
		b = bytes.ReplaceAll(b, []byte("seeds: []"), []byte(`seeds: ["`+w.freeAddr(3)+`"]`))
		if err := os.WriteFile(file, b, 0o600); err != nil {
			w.fail("%v", err)
		}
		w.note("the settings of %s change, and it gets SIGHUP", v.name)
		_ = v.cmd.Process.Signal(syscall.SIGHUP)
	}
	wg.Wait()
	lost := 0
	for _, s := range servers {
		for _, r := range s.all() {
			for i := range callers {
				if r.id == fmt.Sprintf("order-%d", i) && statuses[i] == 0 {
					lost++
					w.note("LOST: %s was passed on to %s, and its client's channel ended without an answer", r.id, s.id)
				}
			}
		}
	}
	w.note("%d of %d orders were passed on and never answered", lost, callers)
	return lost > 0
}
