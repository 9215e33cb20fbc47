package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"sassafrastray"
)

const limitWindow = 4 * time.Second

// limitFleet is a fleet whose VMs all want to send to one server that names a limit.
type limitFleet struct {
	tables []*Table
	// told holds when each VM heard of the limit.
	told []time.Time
	// sent holds the requests that were sent half a second or more after that, and all
	// those that the server got.
	sent, all []time.Time
}

// newLimitFleet returns a fleet of n VMs in two regions that know each other.
func newLimitFleet(n int) *limitFleet {
	f := &limitFleet{told: make([]time.Time, n)}
	var vms []sassafrastray.VM
	for i := range n {
		domain := sassafrastray.DomainName([]string{"n-1", "s-1"}[i%2])
		vms = append(vms, sassafrastray.VM{Name: sassafrastray.VMName(fmt.Sprint("vm-", i)), Domain: domain})
	}
	for i := range n {
		t := newTable(regions[vms[i].Domain], uint64(i))
		t.opt.Self = vms[i].Name
		others := append(append([]sassafrastray.VM{}, vms[:i]...), vms[i+1:]...)
		t.SetFleet(others)
		t.Update(servers("n-1", 1, 50), nil, start)
		f.tables = append(f.tables, t)
	}
	return f
}

// run lets each VM try to send a request every ten milliseconds, in fleets of more than a
// hundred VMs more seldom. The server names the limit in each answer, or none if it is
// negative.
func (f *limitFleet) run(from, to time.Duration, limit float64) {
	step := 10 * time.Millisecond * time.Duration(1+len(f.tables)/100)
	for d := from; d < to; d += step {
		now := start.Add(d)
		if d%time.Second == 0 && len(f.tables) <= 100 {
			f.exchange(now)
		}
		for i, t := range f.tables {
			c, ok := t.Pick(request(""), now)
			if !ok {
				continue
			}
			f.all = append(f.all, now)
			if !f.told[i].IsZero() && now.Sub(f.told[i]) >= 500*time.Millisecond {
				f.sent = append(f.sent, now)
			}
			t.Done(c, OK, time.Millisecond, nil, now)
			if limit < 0 {
				t.EndLimit(c, now)
				continue
			}
			t.SetLimit(c, limit, now)
			if f.told[i].IsZero() {
				f.told[i] = now
			}
		}
	}
}

// exchange delivers the reports of each VM to all others.
func (f *limitFleet) exchange(now time.Time) {
	for i, t := range f.tables {
		reports := t.LimitReports(now)
		for j, other := range f.tables {
			if j != i {
				other.ReceiveLimits(reports, now)
			}
		}
	}
}

// most returns the greatest number of requests within the window from the moment on.
func most(sent []time.Time, from time.Time) (n int) {
	first := 0
	for i, at := range sent {
		for at.Sub(sent[first]) > limitWindow || sent[first].Before(from) && first < i {
			first++
		}
		if !at.Before(from) {
			n = max(n, i-first+1)
		}
	}
	return n
}

// TestLimitOfAServerOverAllVMs guards against a server that gets more than the limit it
// names from all VMs together, in fleets of any size, and against one that gets hardly
// any requests.
func TestLimitOfAServerOverAllVMs(t *testing.T) {
	for _, vms := range []int{1, 2, 8, 11, 76, 300, 1400} {
		for _, limit := range []float64{0.5, 1, 2.1, 4.2, 8} {
			t.Run(fmt.Sprintf("%d VMs/%.1f", vms, limit), func(t *testing.T) {
				f := newLimitFleet(vms)
				f.run(0, 30*time.Second, limit)
				bound := 1.5*limit*limitWindow.Seconds() + 5
				if n := most(f.sent, start); float64(n) > bound {
					t.Errorf("%d requests within %v, bound %.1f", n, limitWindow, bound)
				}
				if n := float64(len(f.sent)); n < 0.6*limit*29 {
					t.Errorf("%.0f requests in 29 s at %.1f a second", n, limit)
				}
			})
		}
	}
}

// TestLimitChangesOrEnds checks that a lower limit binds, that a higher one is used, and
// that the regular senders use the server freely once it names none.
func TestLimitChangesOrEnds(t *testing.T) {
	f := newLimitFleet(11)
	f.run(0, 10*time.Second, 8)
	f.run(10*time.Second, 24*time.Second, 1)
	if n := most(f.sent, start.Add(14*time.Second)); n > 11 {
		t.Errorf("%d requests within %v after the limit fell to one a second, bound 11", n, limitWindow)
	}
	before := len(f.all)
	f.run(24*time.Second, 40*time.Second, 6)
	if n := len(f.all) - before; n < 45 {
		t.Errorf("%d requests in 16 s after the limit rose to six a second", n)
	}
	before = len(f.all)
	f.run(40*time.Second, 44*time.Second, -1)
	if n := len(f.all) - before; n < 400 {
		t.Errorf("%d requests in 4 s after the limit ended", n)
	}
}

// TestStrangeLimits checks limits that no server should name: none of them may stop a
// server for good or release one that named a limit.
func TestStrangeLimits(t *testing.T) {
	for _, c := range []struct {
		limit float64
		bound int
	}{{0, 5}, {math.SmallestNonzeroFloat64, 5}, {-1, 17}, {math.NaN(), 17}, {math.Inf(1), math.MaxInt}, {1e300, math.MaxInt}} {
		f := newLimitFleet(8)
		for _, table := range f.tables {
			choice, _ := table.Pick(request(""), start)
			table.Done(choice, OK, time.Millisecond, nil, start)
			table.SetLimit(choice, 2, start)
			table.SetLimit(choice, c.limit, start)
		}
		var sent []time.Time
		for ms := 500; ms < 60500; ms += 10 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, table := range f.tables {
				if choice, ok := table.Pick(request(""), now); ok {
					sent = append(sent, now)
					table.Done(choice, OK, time.Millisecond, nil, now)
				}
			}
		}
		if n := most(sent, start); n > c.bound || n == 0 {
			t.Errorf("limit %v: %d requests within %v, bound %d", c.limit, n, limitWindow, c.bound)
		}
	}
}

// TestAllServersLimited checks that a request which no server's limit allows is refused
// at once, with a time after which one does.
func TestAllServersLimited(t *testing.T) {
	table := newTable("north", 1)
	table.Update(servers("n-1", 3, 4), nil, start)
	for range 3 {
		c, ok := table.Pick(request("x"), start)
		if !ok {
			t.Fatal("refused")
		}
		table.Done(c, OK, time.Millisecond, nil, start)
		table.SetLimit(c, 1, start)
	}
	c, ok := table.Pick(request("x"), start)
	if ok || c.Reason != Limited || c.RetryAfter <= 0 || c.RetryAfter > 3*time.Second {
		t.Fatalf("%v, reason %s, retry after %v", ok, c.Reason, c.RetryAfter)
	}
	if _, ok = table.Pick(request("x"), start.Add(c.RetryAfter)); !ok {
		t.Errorf("refused after the given %v", c.RetryAfter)
	}
}

// TestLimitOfAnotherServer checks that a limit does not pass to the server that gets the
// address or the name next.
func TestLimitOfAnotherServer(t *testing.T) {
	table := newTable("north", 1)
	list := servers("n-1", 1, 4)
	table.Update(list, nil, start)
	c, _ := table.Pick(request("x"), start)
	table.Done(c, OK, time.Millisecond, nil, start)
	table.SetLimit(c, 1, start)
	list[0].Incarnation++
	table.Update(list, nil, start)
	table.SetLimit(c, 1, start)
	for range 10 {
		next, ok := table.Pick(request("x"), start)
		if !ok {
			t.Fatal("the limit of the former server applies")
		}
		table.Done(next, OK, time.Millisecond, nil, start)
	}
}

// TestLimitReportsAreBounded checks that what a VM tells the others does not grow with the
// number of servers in need, and that strange reports change nothing.
func TestLimitReportsAreBounded(t *testing.T) {
	table := newTable("north", 1)
	table.Update(servers("n-1", 100, 4), nil, start)
	for i := range 400 {
		if c, ok := table.Pick(request(fmt.Sprint(i)), start); ok {
			table.Done(c, OK, time.Millisecond, nil, start)
			table.SetLimit(c, 3, start)
		}
	}
	if n := len(table.LimitReports(start)); n != maxReports {
		t.Errorf("%d limits in a report, want %d", n, maxReports)
	}
	if n := len(table.LimitReports(start.Add(3 * time.Second))); n != 0 {
		t.Errorf("%d limits in a report 3 s after the last answer", n)
	}
	other := newTable("north", 2)
	other.Update(servers("n-1", 1, 4), nil, start)
	other.ReceiveLimits([]LimitReport{{"nobody", 1}, {"n-1-0", math.NaN()}, {"n-1-0", -5}}, start)
	if c, ok := other.Pick(request("x"), start); !ok || c.Server.Name != "n-1-0" {
		t.Errorf("the server is not used after strange reports: %s", c.Reason)
	}
}
