package vm

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/limit/place"
	"sassafrastray/internal/limit/quota"
)

// stepPlace passes an event to the place's state machine and runs the resulting
// effects.
func (v *VM) stepPlace(ev place.Event, now time.Time) {
	for _, e := range v.place.Step(ev, now) {
		v.runPlaceEffect(e)
	}
}

func (v *VM) runPlaceEffect(e place.Effect) {
	switch e := e.(type) {
	case place.List:
		v.store("list", func(ctx context.Context) error {
			objects, err := v.platform.List(ctx, e.Prefix)
			v.placeAnswer(place.Answer{ID: e.ID, Objects: objects, Err: err})
			return err
		})
	case place.Get:
		v.store("get", func(ctx context.Context) error {
			o, err := v.platform.Get(ctx, e.Key)
			v.placeAnswer(place.Answer{ID: e.ID, Objects: []sassafrastray.Object{o}, Err: err})
			return err
		})
	case place.Put:
		v.store("put", func(ctx context.Context) error {
			version, err := v.platform.Put(ctx, e.Key, e.Value, e.Version)
			v.placeAnswer(place.Answer{ID: e.ID, Version: version, Err: err})
			return err
		})
	case place.Delete:
		v.store("delete", func(ctx context.Context) error {
			err := v.platform.Delete(ctx, e.Key, e.Version)
			v.placeAnswer(place.Answer{ID: e.ID, Err: err})
			return err
		})
	case place.Hold:
		v.quotas.do(func(l *quota.Limiter, _ time.Time) { l.SetPlace(e.Place, e.From) })
		if e.Place == nil {
			v.log.Info("place given up", "domain", v.self.Domain)
			return
		}
		v.log.Info("place held", "domain", e.Place.Domain, "index", e.Place.Index, "from", e.From)
	case place.Probe:
		v.connect(e.VM)
	}
}

// store runs a call to the store in the worker pool.
func (v *VM) store(kind string, call func(ctx context.Context) error) {
	v.spawn(func() {
		ctx, cancel := context.WithTimeout(v.ctx, storeTimeout)
		defer cancel()
		v.metrics.store.WithLabelValues(kind, sassafrastray.Outcome(call(ctx))).Inc()
	})
}

func (v *VM) listVMs() ([]sassafrastray.VM, error) {
	ctx, cancel := context.WithTimeout(v.ctx, storeTimeout)
	defer cancel()
	return v.platform.VMs(ctx)
}

func (v *VM) placeAnswer(a place.Answer) {
	v.post(func(now time.Time) { v.stepPlace(a, now) })
}

// reportReachable tells the place's state machine whether a message reached
// another VM.
func (v *VM) reportReachable(name sassafrastray.VMName, ok bool, now time.Time) {
	if name != "" {
		v.stepPlace(place.Probed{VM: name, OK: ok}, now)
	}
}

// connect opens a new connection to another VM to test whether it can be
// reached.
func (v *VM) connect(name sassafrastray.VMName) {
	to, known := v.members.Find(name)
	v.spawn(func() {
		err := errors.New("unknown VM")
		if known && !v.faults.Partitioned(v.self.Domain, to.Domain) {
			var c net.Conn
			if c, err = net.DialTimeout("tcp", to.PeerAddress.String(), callTimeout); err == nil {
				c.Close()
			}
		}
		v.post(func(now time.Time) { v.reportReachable(name, err == nil, now) })
	})
}
