package main

import (
	"fmt"
	"io"
	"time"
)

const (
	// photoBytes is about the mean length of a photo, and sentBytes how much of it a
	// client that leaves has sent.
	photoBytes = 60000
	sentBytes  = 40000

	photos = 20

	// leaveAfter is when a client leaves that doesn't stay: the pages give it half of the
	// objective of 400 ms. Three in ten leave, the largest share of the site file.
	leaveAfter = 150 * time.Millisecond
)

// truncatedUploads sends photos from clients that leave in the middle of the body, and
// reports whether a server ran a request with another body than its client's.
func truncatedUploads(w *world, trouble bool) bool {
	servers := []*server{
		w.startServer("i-photo-1", "photos", 40*time.Millisecond), w.startServer("i-photo-2", "photos", 300*time.Millisecond),
	}
	w.startServer("i-order-1", "orders", 50*time.Millisecond)
	w.configure(ordersRow, photosRow)
	vms := []*vm{w.startVM(1), w.startVM(2)}
	settle()
	for _, v := range vms {
		w.warmUp(v)
	}
	bodies := make(map[string][]byte)
	for i := range photos {
		id := fmt.Sprintf("photo-%d", i)
		body := randomBody(photoBytes)
		bodies[id] = body
		w.note("client sends %s, body %d bytes %s", id, len(body), digest(body))
		if !trouble || i%10 >= 3 {
			w.send(vms[i%2], "photos.example", "/photos/"+id, id, teamKey, body)
			continue
		}
		c := w.dial(vms[i%2])
		_, _ = io.WriteString(c, head("photos.example", "/photos/"+id, id, teamKey, fmt.Sprintf("Content-Length: %d", len(body))))
		_, _ = c.Write(body[:sentBytes])
		time.Sleep(leaveAfter)
		_ = c.Close()
		w.note("client of %s leaves after %d of %d bytes", id, sentBytes, len(body))
	}
	time.Sleep(time.Second)
	changed := 0
	for _, s := range servers {
		for _, r := range s.all() {
			if body, ok := bodies[r.id]; !ok || digest(body) != r.sum {
				changed++
				w.note("CHANGED: %s ran %s with a body of %d bytes; its client's has %d", s.id, r.id, r.size, len(body))
			}
		}
	}
	w.note("%d of %d requests ran with a body that their clients did not send", changed, photos)
	return changed > 0
}
