package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
	"sassafrastray/internal/limit/place"
)

var epoch = time.Unix(1_000_000, 0)

const (
	// configDelay is how long a configuration takes to reach all VMs.
	configDelay = time.Second
	// tolerance covers the rounding errors of sums.
	tolerance = 1e-6
)

type (
	// oracle is a token bucket of the whole limit from which the admissions of all
	// VMs are taken. It accepts exactly the sequences in which every window of
	// length w has at most rate*w + burst admissions.
	oracle struct {
		limits []datedLimit
		tokens float64
		last   time.Time
		total  int
	}

	// datedLimit is a limit and until when it may still be in force at some VM.
	datedLimit struct {
		Limit
		until time.Time
	}
)

// set changes the limit. The former limit counts until all VMs have applied the
// change and all loans under it have expired.
func (o *oracle) set(l Limit, now, until time.Time) {
	o.refill(now)
	if n := len(o.limits); n > 0 {
		o.limits[n-1].until = until
	} else {
		o.tokens = l.Burst
	}
	o.limits = append(o.limits, datedLimit{Limit: l, until: now.Add(1000 * time.Hour)})
}

// inForce returns the highest rate and burst that may still be in force.
func (o *oracle) inForce() (rate, burst float64) {
	for _, l := range o.limits {
		if o.last.Before(l.until) {
			rate, burst = max(rate, l.Rate), max(burst, l.Burst)
		}
	}
	return rate, burst
}

func (o *oracle) refill(now time.Time) {
	rate, burst := o.inForce()
	if !o.last.IsZero() {
		o.tokens = min(burst, o.tokens+rate*now.Sub(o.last).Seconds())
	}
	o.last = now
}

func (o *oracle) admit(s *simulation, v *vm) {
	o.refill(s.now)
	o.tokens--
	o.total++
	if o.tokens < -tolerance {
		s.fail("%v: %s admits above the limit: %.6f tokens short", s.now.Sub(epoch), v.name, -o.tokens)
	}
}

// check checks that the VMs together hold no more than the limit allows: they
// could admit all of their tokens now, and refill from then on.
func (o *oracle) check(s *simulation, tokens, capacity, rate float64) {
	o.refill(s.now)
	maxRate, maxBurst := o.inForce()
	at := s.now.Sub(epoch)
	switch {
	case tokens > o.tokens+tolerance:
		s.fail("%v: the VMs hold %.6f tokens, %.6f would be within the limit", at, tokens, o.tokens)
	case capacity > maxBurst+tolerance:
		s.fail("%v: capacities sum to %v, the burst is %v", at, capacity, maxBurst)
	case rate > maxRate+tolerance:
		s.fail("%v: rates sum to %v, the rate is %v", at, rate, maxRate)
	}
}

func newSimulation(rng *rand.Rand, fail func(string, ...any)) *simulation {
	s := &simulation{
		rng: rng, now: epoch, fail: fail,
		opt: Options{
			LoanLength: time.Second, Drift: 0.01, Margin: 25 * time.Millisecond,
			MaxPause: 500 * time.Millisecond, SettleTime: 4 * time.Second, MaxWait: 300 * time.Millisecond,
		},
		objects:   make(map[string]sassafrastray.Object),
		cut:       make(map[string]bool),
		oracles:   make(map[string]*oracle),
		placeUses: make(map[sassafrastray.Place]placeUse),
		delay:     60 * time.Millisecond,
	}
	s.placeOptions = place.Options{
		RenewInterval: time.Second, SeekInterval: 300 * time.Millisecond, MaxPause: s.opt.MaxPause,
		TakeoverAfter: 3 * time.Second, Quarantine: s.opt.Quarantine(),
	}
	return s
}

// configure publishes a configuration. It reaches each VM within configDelay.
func (s *simulation) configure(limits []Limit, domains []sassafrastray.FailureDomain) {
	s.limits, s.domains = limits, domains
	s.number++
	number := s.number
	for _, l := range limits {
		if s.oracles[l.Key] == nil {
			s.oracles[l.Key] = &oracle{}
		}
		s.oracles[l.Key].set(l, s.now, s.now.Add(configDelay+s.opt.MaxPause+s.opt.Quarantine()))
	}
	for _, v := range s.vms {
		s.after(time.Duration(s.rng.Float64()*float64(configDelay)), func() {
			s.runOn(v, func() {
				s.apply(v, number, limits, domains)
				s.step(v, place.Places{Count: s.places(v.domain.Name)})
			})
		})
	}
}

// drawVM returns a VM that is not dead, or nil if there is none.
func (s *simulation) drawVM(t *rapid.T) *vm {
	var live []*vm
	for _, v := range s.vms {
		if !v.dead {
			live = append(live, v)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(t, "vm")]
}

func drawLimits(t *rapid.T) []Limit {
	return []Limit{
		{
			Key:   "orders/small",
			Rate:  float64(rapid.IntRange(1, 10).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(1, 12).Draw(t, "burst")),
		},
		{
			Key: "link:r0>r1", Rate: float64(rapid.IntRange(50, 200).Draw(t, "rate")),
			Burst:   float64(rapid.IntRange(5, 60).Draw(t, "burst")),
			Domains: []sassafrastray.DomainName{"d0", "d1"},
		},
	}
}

func drawDomains(t *rapid.T) []sassafrastray.FailureDomain {
	n := rapid.IntRange(2, 6).Draw(t, "domains")
	list := make([]sassafrastray.FailureDomain, n)
	for i := range list {
		list[i] = sassafrastray.FailureDomain{
			Name:   sassafrastray.DomainName(fmt.Sprintf("d%d", i)),
			Region: sassafrastray.RegionName(fmt.Sprintf("r%d", i/2)),
			Places: rapid.IntRange(1, 2).Draw(t, "places"),
		}
	}
	return list
}

// TestNoWindowAboveTheLimit checks that no window exceeds a limit during
// partitions, pauses, crashes, takeovers, lost and late messages and changes of
// the configuration.
func TestNoWindowAboveTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), t.Fatalf)
		s.configure(drawLimits(t), drawDomains(t))
		for _, d := range s.domains {
			for i := range d.Places {
				s.start(sassafrastray.VMName(fmt.Sprintf("%s-%d", d.Name, i)), d).load = 30
			}
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "spares") {
			s.start(sassafrastray.VMName(fmt.Sprintf("spare-%d", i)), s.domains[i]).load = 30
		}
		s.run(s.opt.SettleTime + s.opt.Quarantine())
		actions := s.actions()
		for name, act := range actions {
			actions[name] = func(t *rapid.T) {
				act(t)
				s.run(time.Duration(rapid.SampledFrom([]int{0, 100, 300, 600}).Draw(t, "ms")) * time.Millisecond)
			}
		}
		t.Repeat(actions)
	})
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run": func(*rapid.T) { s.run(s.opt.LoanLength) },
		"load": func(t *rapid.T) {
			if v := s.drawVM(t); v != nil {
				v.load = rapid.SampledFrom([]float64{0, 1, 10, 100}).Draw(t, "load")
			}
		},
		"network": func(t *rapid.T) {
			s.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "loss")
			s.duplication = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "twice")
			s.delay = time.Duration(rapid.SampledFrom([]int{1, 60, 400}).Draw(t, "delay")) * time.Millisecond
		},
		"cut": func(t *rapid.T) {
			a := s.domains[rapid.IntRange(0, len(s.domains)-1).Draw(t, "domain")].Name
			on := rapid.Bool().Draw(t, "on")
			for _, d := range s.domains {
				s.cut[pair(a, d.Name)] = on
			}
			s.cut[string(a)] = on
		},
		"outage":  func(t *rapid.T) { s.outage = rapid.Bool().Draw(t, "on") },
		"pause":   s.pause,
		"restart": s.restart,
		"leave": func(t *rapid.T) {
			if v := s.drawVM(t); v != nil {
				s.runOn(v, func() { s.step(v, place.Leave{}) })
			}
		},
		"configure": func(t *rapid.T) {
			s.configure(drawLimits(t), s.domains)
		},
		"places": func(t *rapid.T) {
			domains := append([]sassafrastray.FailureDomain(nil), s.domains...)
			domains[rapid.IntRange(0, len(domains)-1).Draw(t, "domain")].Places = rapid.IntRange(1, 2).Draw(t, "places")
			s.configure(s.limits, domains)
		},
	}
}

// pause pauses a VM for a while. Afterwards it may take tokens before it
// handles the messages that arrived in the meantime.
func (s *simulation) pause(t *rapid.T) {
	v := s.drawVM(t)
	if v == nil || v.paused {
		return
	}
	v.paused = true
	greedy := rapid.Bool().Draw(t, "greedy")
	pause := rapid.SampledFrom([]int{300, 700, 1500, 8000}).Draw(t, "pause")
	s.after(time.Duration(pause)*time.Millisecond, func() { s.resume(v, greedy) })
}

func (s *simulation) resume(v *vm, greedy bool) {
	v.paused = false
	for range 20 {
		if greedy {
			s.take(v, s.limits[0].Key)
			s.take(v, s.limits[1].Key)
		}
	}
	inbox := v.inbox
	v.inbox = nil
	s.rng.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	for _, f := range inbox {
		s.runOn(v, f)
	}
}

// restart ends a process. The VM restarts with the same name or with a new one.
func (s *simulation) restart(t *rapid.T) {
	v := s.drawVM(t)
	if v == nil {
		return
	}
	v.dead = true
	name := v.name
	if rapid.Bool().Draw(t, "new") {
		name = sassafrastray.VMName(fmt.Sprintf("%s-%d", v.domain.Name, 10+s.lastInc))
	}
	s.start(name, v.domain).load = v.load
}
