package registry

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"
)

// eraHeader counts, in all answers, how often the store has returned to an older copy.
const eraHeader = "Store-Era"

// writtenAgain are the kinds that operators and backend servers write again after the
// store has returned to an older copy; a status is not.
var writtenAgain = []string{"config", "servers", "rollouts", "evacuations"}

type (
	// Restore returns the store to the copy that it was Age seconds ago. After Again
	// seconds operators and backend servers write again what they had written since,
	// unless that is negative.
	Restore struct {
		Age   float64 `json:"age"`
		Again float64 `json:"again"`
	}

	// change is a write that a later copy holds.
	change struct {
		event
		at time.Time
	}
)

// restore returns the store to its state at a time: later writes are gone, their
// revisions are given out again, and waiting watches are answered.
func (r *Registry) restore(ctx *fasthttp.RequestCtx) {
	var p Restore
	if err := json.Unmarshal(ctx.PostBody(), &p); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	before := r.objects
	r.returnTo(r.now().Add(-time.Duration(p.Age * float64(time.Second))))
	switch {
	case p.Again == 0:
		r.writeAgain(before)
	case p.Again > 0:
		time.AfterFunc(time.Duration(p.Again*float64(time.Second)), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.writeAgain(before)
		})
	}
}

func (r *Registry) returnTo(at time.Time) {
	n, _ := slices.BinarySearchFunc(r.changes, at, func(c change, at time.Time) int {
		if c.at.After(at) {
			return 1
		}
		return -1
	})
	r.changes = r.changes[:n]
	r.objects, r.revision = make(map[string]map[string]Object), 1
	for _, c := range r.changes {
		r.apply(c.event)
		r.revision = c.Object.Metadata.Revision
	}
	r.history = slices.DeleteFunc(r.history, func(e event) bool { return e.Object.Metadata.Revision > r.revision })
	r.compacted = min(r.compacted, r.revision)
	r.era++
	r.notifyWaiters()
}

// writeAgain writes the specifications of objects as they were before the loss, and
// deletes those that were deleted.
func (r *Registry) writeAgain(before map[string]map[string]Object) {
	for _, kind := range writtenAgain {
		for _, name := range slices.Sorted(maps.Keys(before[kind])) {
			o, known := r.objects[kind][name]
			if known && string(o.Spec) == string(before[kind][name].Spec) {
				continue
			}
			o.Metadata.Name, o.Spec = name, before[kind][name].Spec
			r.record(kind, o, false)
		}
		for _, name := range slices.Sorted(maps.Keys(r.objects[kind])) {
			if _, ok := before[kind][name]; !ok {
				r.record(kind, r.objects[kind][name], true)
			}
		}
	}
}

// record gives a write the next revision and returns the object. The caller holds r.mu.
func (r *Registry) record(kind string, o Object, deleted bool) Object {
	r.revision++
	o.Metadata.Revision = r.revision
	e := event{o, deleted, kind}
	r.apply(e)
	r.history = append(r.history, e)
	r.changes = append(r.changes, change{e, r.now()})
	r.notifyWaiters()
	return o
}

func (r *Registry) apply(e event) {
	if e.Deleted {
		delete(r.objects[e.kind], e.Object.Metadata.Name)
		return
	}
	if r.objects[e.kind] == nil {
		r.objects[e.kind] = make(map[string]Object)
	}
	r.objects[e.kind][e.Object.Metadata.Name] = e.Object
}
