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
		v.callStore("list", func(ctx context.Context) error {
			objects, err := v.platform.List(ctx, e.Prefix)
			v.handlePlaceAnswer(place.Answer{ID: e.ID, Objects: objects, Err: err})
			return err
		})
	case place.Get:
		v.callStore("get", func(ctx context.Context) error {
			o, err := v.platform.Get(ctx, e.Key)
			v.handlePlaceAnswer(place.Answer{ID: e.ID, Objects: []sassafrastray.Object{o}, Err: err})
			return err
		})
	case place.Put:
		v.callStore("put", func(ctx context.Context) error {
			version, err := v.platform.Put(ctx, e.Key, e.Value, e.Version)
			v.handlePlaceAnswer(place.Answer{ID: e.ID, Version: version, Err: err})
			return err
		})
	case place.Delete:
		v.callStore("delete", func(ctx context.Context) error {
			err := v.platform.Delete(ctx, e.Key, e.Version)
			v.handlePlaceAnswer(place.Answer{ID: e.ID, Err: err})
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
		v.testReachable(e.VM)
	}
}

// callStore runs a call to the store in the worker pool.
func (v *VM) callStore(kind string, call func(ctx context.Context) error) {
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

func (v *VM) handlePlaceAnswer(a place.Answer) {
	v.post(func(now time.Time) { v.stepPlace(a, now) })
}

// reportReachable tells the place's state machine whether a message reached
// another VM.
func (v *VM) reportReachable(name sassafrastray.VMName, ok bool, now time.Time) {
	if name != "" {
		v.stepPlace(place.Probed{VM: name, OK: ok}, now)
	}
}

// testReachable opens a new connection to another VM and reports to the place's
// state machine whether that succeeded.
func (v *VM) testReachable(name sassafrastray.VMName) {
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
