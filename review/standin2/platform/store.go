package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const objectsPath = "/api/objects/"

type (
	metadata struct {
		Name       string   `json:"name"`
		Revision   int64    `json:"mod-revision,omitempty"`
		Created    int64    `json:"created,omitempty"`
		Finalizers []string `json:"finalizers,omitempty"`
		Deleting   bool     `json:"deleting,omitempty"`
	}

	object struct {
		Metadata metadata        `json:"metadata"`
		Spec     json.RawMessage `json:"spec,omitempty"`
		Status   json.RawMessage `json:"status,omitempty"`
	}

	event struct {
		Object  object `json:"object"`
		Deleted bool   `json:"deleted"`
		kind    string
	}

	// store is the platform's metadata store: objects by kind and name, conditional
	// writes and watches. While it is down it answers nothing, and a channel on which an
	// answer was due then returns nothing further.
	store struct {
		mu       sync.Mutex
		revision int64
		objects  map[string]map[string]object
		history  []event
		changed  chan struct{}
		down     bool
	}
)

// runStore serves the store. PUT /down and DELETE /down on the control address begin and
// end an outage.
func runStore(args []string) {
	f := flag.NewFlagSet("store", flag.ExitOnError)
	listen := f.String("listen", "", "address of the store")
	control := f.String("control", "", "address of its control interface")
	must(f.Parse(args))
	s := &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	go func() {
		must(http.ListenAndServe(*control, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.down = r.Method == http.MethodPut
		})))
	}()
	must(http.ListenAndServe(*listen, s))
}

// isDown reports whether the store answers nothing now.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// reply answers a call, unless the store is down: the channel then stays silent.
func (s *store) reply(w http.ResponseWriter, r *http.Request, status int, v any) {
	if s.isDown() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	b, err := json.Marshal(v)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case !strings.HasPrefix(r.URL.Path, objectsPath) || len(parts) > 3:
		s.reply(w, r, http.StatusNotFound, struct{}{})
	case r.Method != http.MethodGet:
		s.write(w, r, parts)
	case len(parts) > 1:
		s.mu.Lock()
		o, ok := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		if !ok {
			s.reply(w, r, http.StatusNotFound, struct{}{})
			return
		}
		s.reply(w, r, http.StatusOK, o)
	case r.URL.Query().Has("watch"):
		s.watch(w, r, parts[0])
	default:
		s.mu.Lock()
		items := []object{}
		for _, o := range s.objects[parts[0]] {
			items = append(items, o)
		}
		revision := s.revision
		s.mu.Unlock()
		s.reply(w, r, http.StatusOK, map[string]any{"items": items, "has-more": false, "store-revision": revision})
	}
}

// watch answers as soon as there is an event after the revision, or when its wait is over.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			s.reply(w, r, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// write carries out a call that may change an object.
func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		s.reply(w, r, http.StatusBadRequest, struct{}{})
		return
	}
	name := in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	status, out := s.apply(r.Method, parts[0], name, len(parts) == 3, in)
	s.reply(w, r, status, out)
}

func (s *store) apply(method, kind, name string, ofStatus bool, in object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	old, exists := s.objects[kind][name]
	conflict := exists && (method == http.MethodPost || in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision)
	switch {
	case conflict:
		return http.StatusConflict, old
	case !exists && method != http.MethodPost:
		return http.StatusNotFound, object{}
	case method == http.MethodDelete:
		s.revision++
		old.Metadata.Revision = s.revision
		delete(s.objects[kind], name)
		s.record(event{Object: old, Deleted: true, kind: kind})
		return http.StatusOK, old
	}
	next := old
	next.Metadata.Name = name
	if ofStatus {
		next.Status = in.Status
	} else {
		next.Spec = in.Spec
	}
	if exists && sameEntry(old, next) {
		s.objects[kind][name] = next
		return http.StatusOK, next
	}
	s.revision++
	next.Metadata.Revision = s.revision
	if !exists {
		next.Metadata.Created = s.revision
	}
	s.objects[kind][name] = next
	s.record(event{Object: next, kind: kind})
	return http.StatusOK, next
}

// record adds an event to the history. The caller holds the lock.
func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// sameEntry reports whether no more than seq changes, which is no change of an entry.
func sameEntry(a, b object) bool {
	if !bytes.Equal(a.Status, b.Status) {
		return false
	}
	var x, y map[string]any
	if json.Unmarshal(a.Spec, &x) != nil || json.Unmarshal(b.Spec, &y) != nil {
		return bytes.Equal(a.Spec, b.Spec)
	}
	delete(x, "seq")
	delete(y, "seq")
	return fmt.Sprint(x) == fmt.Sprint(y)
}
