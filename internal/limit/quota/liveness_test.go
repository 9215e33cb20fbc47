package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sassafrastray"
)

// tickEvery is the time between two calls of Tick.
const tickEvery = 25 * time.Millisecond

// requestTimeout is how long a request waits for a token.
const requestTimeout = 300 * time.Millisecond

type (
	// fleet is eleven VMs in six domains of three regions, with a network without
	// faults and callers that stay within a limit.
	fleet struct {
		rng      *rand.Rand
		now      time.Time
		limit    Limit
		limiters []*Limiter
		domains  []sassafrastray.FailureDomain
		events   eventQueue
		seq      int
		timeout  time.Duration
		result   outcome

		waiting [11][]*request
	}

	request struct {
		began time.Time
		done  bool
	}

	outcome struct {
		sent, refused, messages int
		waits                   []time.Duration
	}

	// pattern chooses the VM of the n-th request and the time until that request,
	// so that requests arrive at the given mean rate.
	pattern struct {
		name string
		next func(f *fleet, n int, rate float64) (vm int, gap time.Duration)
	}

	policy struct {
		name    string
		static  bool
		timeout time.Duration
	}
)

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now.Add(d), seq: f.seq, run: run})
}

func newFleet(l Limit, p policy) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(20261204, 1)), now: epoch, limit: l, timeout: p.timeout}
	for i := range 6 {
		f.domains = append(f.domains, sassafrastray.FailureDomain{
			Name:   sassafrastray.DomainName(fmt.Sprintf("d%d", i)),
			Region: sassafrastray.RegionName(fmt.Sprintf("r%d", i/2)), Places: 2,
		})
	}
	f.domains[5].Places = 1
	for _, d := range f.domains {
		for i := range d.Places {
			opt := DefaultOptions()
			opt.Domain, opt.Static = d.Name, p.static
			name := sassafrastray.VMName(fmt.Sprintf("%s-%d", d.Name, i))
			lim := New(name, 1, rand.New(rand.NewPCG(uint64(len(f.limiters)), 2)), opt)
			lim.Configure([]Limit{l}, f.domains, f.now)
			lim.SetPlace(&sassafrastray.Place{Domain: d.Name, Index: i}, f.now)
			f.limiters = append(f.limiters, lim)
		}
	}
	for _, lim := range f.limiters {
		f.after(time.Duration(f.rng.IntN(50))*time.Millisecond, func() { f.tick(lim) })
		f.after(time.Duration(f.rng.IntN(1000))*time.Millisecond, func() { f.heartbeat(lim) })
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		a := heap.Pop(&f.events).(event)
		f.now = a.at
		a.run()
	}
	f.now = end
}

func (f *fleet) tick(lim *Limiter) {
	f.send(lim, lim.Tick(f.now))
	f.after(tickEvery, func() { f.tick(lim) })
}

// heartbeat delivers digests with a delay of half a second.
func (f *fleet) heartbeat(lim *Limiter) {
	var view []Peer
	for _, o := range f.limiters {
		view = append(view, Peer{
			Name: o.self, Inc: 1, Domain: o.opt.Domain, Region: o.regionOf(o.opt.Domain), Digest: o.Digest(),
		})
	}
	f.after(500*time.Millisecond, func() { lim.SetPeers(view, f.now) })
	f.after(time.Second, func() { f.heartbeat(lim) })
}

func (f *fleet) send(lim *Limiter, list []Message) {
	for _, m := range list {
		f.result.messages++
		i := slices.IndexFunc(f.limiters, func(o *Limiter) bool { return o.self == m.To })
		o := f.limiters[i]
		delay := time.Millisecond
		if o.regionOf(o.opt.Domain) != lim.regionOf(lim.opt.Domain) {
			delay = 55 * time.Millisecond
		}
		f.after(delay, func() {
			f.send(o, o.Receive(m, f.now))
			for len(f.waiting[i]) > 0 && o.Ready(f.limit.Key, 1, f.now) {
				f.call(i, f.waiting[i][0])
			}
		})
	}
}

// call tries to take a token for a request. A token goes to the request that
// has waited longest at the same VM.
func (f *fleet) call(vm int, r *request) {
	if r.done {
		return
	}
	v := f.limiters[vm].Take(f.limit.Key, 1, f.now)
	if v.OK {
		first := r
		for _, o := range f.waiting[vm] {
			if !o.done && o.began.Before(first.began) {
				first = o
			}
		}
		first.done = true
		f.result.waits = append(f.result.waits, f.now.Sub(first.began))
		f.waiting[vm] = slices.DeleteFunc(f.waiting[vm], func(o *request) bool { return o.done })
		if first == r {
			return
		}
		v.Wait = time.Millisecond
	}
	left := f.timeout - f.now.Sub(r.began)
	if v.Wait == 0 || left <= 0 {
		r.done = true
		f.result.refused++
		f.waiting[vm] = slices.DeleteFunc(f.waiting[vm], func(o *request) bool { return o.done })
		return
	}
	if !slices.Contains(f.waiting[vm], r) {
		f.waiting[vm] = append(f.waiting[vm], r)
	}
	f.after(min(v.Wait, left), func() { f.call(vm, r) })
}

// sendPattern sends the requests of a pattern that a token bucket of the limit
// allows.
func (f *fleet) sendPattern(p pattern, load float64, d time.Duration) {
	end := f.now.Add(d)
	tokens, last := f.limit.Burst, f.now
	for n := 0; f.now.Before(end); n++ {
		vm, gap := p.next(f, n, load*f.limit.Rate)
		f.run(gap)
		tokens = min(f.limit.Burst, tokens+f.limit.Rate*f.now.Sub(last).Seconds())
		last = f.now
		if tokens < 1 {
			continue
		}
		tokens--
		f.result.sent++
		f.call(vm, &request{began: f.now})
	}
	f.run(time.Second)
}

// poisson returns a random time until the next request of a Poisson process.
func (f *fleet) poisson(rate float64) time.Duration {
	return time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
}

func patterns() []pattern {
	return []pattern{
		{"one VM", func(f *fleet, _ int, rate float64) (int, time.Duration) { return 3, f.poisson(rate) }},
		{"moving", func(f *fleet, _ int, rate float64) (int, time.Duration) {
			return int(f.now.Sub(epoch)/(2*time.Second)) * 7 % 11, f.poisson(rate)
		}},
		{"uneven", func(f *fleet, _ int, rate float64) (int, time.Duration) {
			return int(11 * f.rng.Float64() * f.rng.Float64() * f.rng.Float64()), f.poisson(rate)
		}},
		{"scattered", func(f *fleet, _ int, rate float64) (int, time.Duration) { return f.rng.IntN(11), f.poisson(rate) }},
		{"bursts", func(f *fleet, n int, rate float64) (int, time.Duration) {
			size := int(f.limit.Burst)
			if n%size > 0 {
				return n / size * 7 % 11, 0
			}
			return n / size * 7 % 11, time.Duration(float64(size) / rate * float64(time.Second))
		}},
	}
}

// runPattern sends a pattern at nine tenths of the limit's rate to a fleet that
// has settled.
func runPattern(l Limit, pat pattern, pol policy, d time.Duration) outcome {
	f := newFleet(l, pol)
	f.run(20 * time.Second)
	f.result = outcome{}
	f.sendPattern(pat, 0.9, d)
	slices.Sort(f.result.waits)
	return f.result
}

// checkRefusals checks that at most one request in a thousand is refused to a
// team at 5/s with a burst of 5 that stays within its limit.
func checkRefusals(t *testing.T, i int) {
	t.Helper()
	r := runPattern(Limit{Key: "s/t", Rate: 5, Burst: 5}, patterns()[i], policy{"", false, requestTimeout}, 600*time.Second)
	t.Logf("%d of %d refused, waits p50 %d ms, p99 %d ms", r.refused, r.sent, quantile(r.waits, 0.5), quantile(r.waits, 0.99))
	if float64(r.refused) > 0.001*float64(r.sent) {
		t.Errorf("%d of %d refused", r.refused, r.sent)
	}
}

func TestInRateOneVM(t *testing.T)     { checkRefusals(t, 0) }
func TestInRateMoving(t *testing.T)    { checkRefusals(t, 1) }
func TestInRateUneven(t *testing.T)    { checkRefusals(t, 2) }
func TestInRateScattered(t *testing.T) { checkRefusals(t, 3) }
func TestInRateBursts(t *testing.T)    { checkRefusals(t, 4) }

// BenchmarkRefusals prints the table of docs/quotas.md.
func BenchmarkRefusals(b *testing.B) {
	policies := []policy{
		{"equal shares", true, 0},
		{"equal shares, wait", true, requestTimeout},
		{"loans", false, 0},
		{"loans, wait", false, requestTimeout},
	}
	limits := []Limit{{Key: "s/t", Rate: 5, Burst: 5}, {Key: "s/t", Rate: 50, Burst: 20}, {Key: "s/t", Rate: 500, Burst: 100}}
	for _, l := range limits {
		for _, pat := range patterns() {
			for _, pol := range policies {
				r := runPattern(l, pat, pol, time.Duration(8000/l.Rate)*time.Second)
				fmt.Printf("| %.0f/s, %.0f | %s | %s | %d | %.2f%% | %d ms | %d ms | %.1f |\n", l.Rate, l.Burst, pat.name, pol.name,
					r.sent, 100*float64(r.refused)/float64(r.sent), quantile(r.waits, 0.5), quantile(r.waits, 0.99),
					float64(r.messages)/float64(r.sent))
			}
		}
	}
	b.ReportMetric(0, "ns/op")
}

// quantile returns a quantile of the sorted waits in milliseconds.
func quantile(waits []time.Duration, q float64) int64 {
	if len(waits) == 0 {
		return 0
	}
	return waits[int(q*float64(len(waits)-1))].Milliseconds()
}
