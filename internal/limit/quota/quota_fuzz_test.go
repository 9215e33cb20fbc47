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
	// spread is how long a configuration takes to reach all VMs.
	spread = time.Second
	// slack covers the rounding of sums.
	slack = 1e-6
)

type (
	// oracle is a token bucket of the whole limit, fed with the admissions of
	// all VMs. It admits exactly the sequences of which every window holds at
	// most rate*w + burst.
	oracle struct {
		limits []dated
		tokens float64
		last   time.Time
		total  int
	}

	// dated is a limit and until when it may still be in force somewhere.
	dated struct {
		Limit
		until time.Time
	}
)

// set changes the limit. The former one counts until all VMs have heard of the
// change and all loans under it have lapsed.
func (o *oracle) set(l Limit, now, until time.Time) {
	o.refill(now)
	if n := len(o.limits); n > 0 {
		o.limits[n-1].until = until
	} else {
		o.tokens = l.Burst
	}
	o.limits = append(o.limits, dated{Limit: l, until: now.Add(1000 * time.Hour)})
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

func (o *oracle) admit(w *world, v *vm) {
	o.refill(w.now)
	o.tokens--
	o.total++
	if o.tokens < -slack {
		w.fail("%v: %s admits above the limit: %.6f tokens short", w.now.Sub(epoch), v.name, -o.tokens)
	}
}

// check asks whether the VMs may hold what they hold: they could admit all
// their tokens now, and refill from then on.
func (o *oracle) check(w *world, tokens, capacity, rate float64) {
	o.refill(w.now)
	mostRate, mostBurst := o.inForce()
	at := w.now.Sub(epoch)
	switch {
	case tokens > o.tokens+slack:
		w.fail("%v: the VMs hold %.6f tokens, %.6f would be within the limit", at, tokens, o.tokens)
	case capacity > mostBurst+slack:
		w.fail("%v: capacities sum to %v, the burst is %v", at, capacity, mostBurst)
	case rate > mostRate+slack:
		w.fail("%v: rates sum to %v, the rate is %v", at, rate, mostRate)
	}
}

func newWorld(rng *rand.Rand, fail func(string, ...any)) *world {
	w := &world{
		rng: rng, now: epoch, fail: fail,
		opt: Options{
			Length: time.Second, Drift: 0.01, Margin: 25 * time.Millisecond,
			Pause: 500 * time.Millisecond, Settle: 4 * time.Second, Wait: 300 * time.Millisecond,
		},
		objects: make(map[string]sassafrastray.Object),
		cut:     make(map[string]bool),
		oracles: make(map[string]*oracle),
		uses:    make(map[sassafrastray.Place]use),
		delay:   60 * time.Millisecond,
	}
	w.popt = place.Options{
		Renew: time.Second, Seek: 300 * time.Millisecond, Pause: w.opt.Pause,
		Takeover: 3 * time.Second, Quarantine: w.opt.Quarantine(),
	}
	return w
}

// configure publishes a configuration. It reaches each VM within spread.
func (w *world) configure(limits []Limit, domains []sassafrastray.FailureDomain) {
	w.limits, w.domains = limits, domains
	w.number++
	number := w.number
	for _, l := range limits {
		if w.oracles[l.Key] == nil {
			w.oracles[l.Key] = &oracle{}
		}
		w.oracles[l.Key].set(l, w.now, w.now.Add(spread+w.opt.Pause+w.opt.Quarantine()))
	}
	for _, v := range w.vms {
		w.after(time.Duration(w.rng.Float64()*float64(spread)), func() {
			w.local(v, func() {
				w.apply(v, number, limits, domains)
				w.step(v, place.Places{Count: w.places(v.domain.Name)})
			})
		})
	}
}

// someone returns a VM that lives, or nil.
func (w *world) someone(t *rapid.T) *vm {
	var live []*vm
	for _, v := range w.vms {
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

// TestNoWindowAboveTheLimit runs VMs through partitions, pauses, crashes,
// takeovers, lost and late messages and changes of the configuration.
func TestNoWindowAboveTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), t.Fatalf)
		w.configure(drawLimits(t), drawDomains(t))
		for _, d := range w.domains {
			for i := range d.Places {
				w.start(sassafrastray.VMName(fmt.Sprintf("%s-%d", d.Name, i)), d).load = 30
			}
		}
		for i := range rapid.IntRange(0, 2).Draw(t, "spares") {
			w.start(sassafrastray.VMName(fmt.Sprintf("spare-%d", i)), w.domains[i]).load = 30
		}
		w.run(w.opt.Settle + w.opt.Quarantine())
		actions := w.actions()
		for name, act := range actions {
			actions[name] = func(t *rapid.T) {
				act(t)
				w.run(time.Duration(rapid.SampledFrom([]int{0, 100, 300, 600}).Draw(t, "ms")) * time.Millisecond)
			}
		}
		t.Repeat(actions)
	})
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run": func(*rapid.T) { w.run(w.opt.Length) },
		"load": func(t *rapid.T) {
			if v := w.someone(t); v != nil {
				v.load = rapid.SampledFrom([]float64{0, 1, 10, 100}).Draw(t, "load")
			}
		},
		"network": func(t *rapid.T) {
			w.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "loss")
			w.twice = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "twice")
			w.delay = time.Duration(rapid.SampledFrom([]int{1, 60, 400}).Draw(t, "delay")) * time.Millisecond
		},
		"cut": func(t *rapid.T) {
			a := w.domains[rapid.IntRange(0, len(w.domains)-1).Draw(t, "domain")].Name
			on := rapid.Bool().Draw(t, "on")
			for _, d := range w.domains {
				w.cut[pair(a, d.Name)] = on
			}
			w.cut[string(a)] = on
		},
		"outage":  func(t *rapid.T) { w.outage = rapid.Bool().Draw(t, "on") },
		"pause":   w.pause,
		"restart": w.restart,
		"leave": func(t *rapid.T) {
			if v := w.someone(t); v != nil {
				w.local(v, func() { w.step(v, place.Leave{}) })
			}
		},
		"configure": func(t *rapid.T) {
			w.configure(drawLimits(t), w.domains)
		},
		"places": func(t *rapid.T) {
			domains := append([]sassafrastray.FailureDomain(nil), w.domains...)
			domains[rapid.IntRange(0, len(domains)-1).Draw(t, "domain")].Places = rapid.IntRange(1, 2).Draw(t, "places")
			w.configure(w.limits, domains)
		},
	}
}

// pause stops a VM for a while. What it does first afterwards is open: it may
// take tokens before it looks at its messages.
func (w *world) pause(t *rapid.T) {
	v := w.someone(t)
	if v == nil || v.paused {
		return
	}
	v.paused = true
	greedy := rapid.Bool().Draw(t, "greedy")
	pause := rapid.SampledFrom([]int{300, 700, 1500, 8000}).Draw(t, "pause")
	w.after(time.Duration(pause)*time.Millisecond, func() { w.resume(v, greedy) })
}

func (w *world) resume(v *vm, greedy bool) {
	v.paused = false
	for range 20 {
		if greedy {
			w.take(v, w.limits[0].Key)
			w.take(v, w.limits[1].Key)
		}
	}
	inbox := v.inbox
	v.inbox = nil
	w.rng.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
	for _, f := range inbox {
		w.local(v, f)
	}
}

// restart ends a process; the VM comes back with its name or as a new one.
func (w *world) restart(t *rapid.T) {
	v := w.someone(t)
	if v == nil {
		return
	}
	v.dead = true
	name := v.name
	if rapid.Bool().Draw(t, "new") {
		name = sassafrastray.VMName(fmt.Sprintf("%s-%d", v.domain.Name, 10+w.lastInc))
	}
	w.start(name, v.domain).load = v.load
}
