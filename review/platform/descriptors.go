package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// descriptors is the limit of a machine's process, and kept how many channels the
	// callers keep open to it: without trouble, 1000 less than the limit.
	descriptors = 4100
	kept        = descriptors + 100
	keptCalm    = descriptors - 1000

	// openers is how many callers open channels at a time, and openPause the pause of
	// each after a channel: all are opened before the first has been idle for long.
	openers   = 16
	openPause = 25 * time.Millisecond

	longWork = 1500 * time.Millisecond
)

// usedUpDescriptors keeps more channels open to a VM than it has descriptors while it
// serves orders, and reports whether its process ended and cut off the orders.
func usedUpDescriptors(w *world, trouble bool) bool {
	s := w.startServer("i-order-1", "orders", 5*time.Millisecond)
	w.startServer("i-stock-1", "stock", 5*time.Millisecond)
	w.configure(ordersRow, openRow)
	w.limit = strconv.Itoa(descriptors)
	v := w.startVM(1)
	settle()
	w.warmUp(v)
	n := kept
	if !trouble {
		n = keptCalm
	}
	ended := make(chan error, 1)
	go func() { ended <- v.cmd.Wait() }()
	w.note("callers open %d channels to %s, send one request on each and keep them; the process may have %d descriptors", n, v.name, descriptors)
	channels := w.keepChannels(v, n-200)
	s.setWork(longWork)
	statuses := make([]int, callers)
	var wg sync.WaitGroup
	for i := range callers {
		c := channels[i]
		_ = c.SetDeadline(time.Now().Add(2 * longWork))
		id := fmt.Sprintf("order-%d", i)
		w.note("client sends %s on its kept channel", id)
		_, _ = io.WriteString(c, head("orders.example", "/orders/1", id, teamKey, "Content-Length: 5")+"order")
		wg.Go(func() { statuses[i] = w.receive(c, id) })
	}
	time.Sleep(200 * time.Millisecond)
	channels = append(channels, w.keepChannels(v, 200)...)
	w.note("%d channels are kept", len(channels))
	wg.Wait()
	lost := 0
	for _, r := range s.all() {
		for i := range callers {
			if r.id == fmt.Sprintf("order-%d", i) && statuses[i] == 0 {
				lost++
				w.note("LOST: %s was passed on to %s, and its kept channel ended without an answer", r.id, s.id)
			}
		}
	}
	select {
	case err := <-ended:
		w.note("the process of %s has ended by itself: %v", v.name, err)
	case <-time.After(time.Second):
		w.note("the process of %s runs", v.name)
	}
	w.note("%d of %d orders were passed on and never answered", lost, callers)
	return lost > 3
}

// keepChannels opens channels to the VM, sends a request on each, and returns those that
// were answered.
func (w *world) keepChannels(v *vm, n int) []net.Conn {
	var mu sync.Mutex
	var channels []net.Conn
	var wg sync.WaitGroup
	for k := range openers {
		wg.Go(func() {
			for i := k; i < n; i += openers {
				c, err := net.DialTimeout("tcp", v.front, time.Second)
				if err != nil {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(requestTime))
				_, _ = io.WriteString(c, head("open.example", "/open/1", fmt.Sprintf("first-%d", i), "", "Content-Length: 0"))
				if w.status(c) != http.StatusOK {
					_ = c.Close()
					continue
				}
				mu.Lock()
				channels = append(channels, c)
				mu.Unlock()
				time.Sleep(openPause)
			}
		})
	}
	wg.Wait()
	return channels
}
