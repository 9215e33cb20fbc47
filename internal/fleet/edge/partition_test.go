package edge

import (
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"sassafrastray"
	"sassafrastray/internal/traffic/placement"
)

// addBackends gives the VM servers at addresses, in different failure domains.
func addBackends(v *VM, now time.Time, addresses ...netip.AddrPort) {
	var list []sassafrastray.BackendServer
	for i, a := range addresses {
		list = append(list, sassafrastray.BackendServer{
			Name: sassafrastray.BackendName('a' + rune(i)), Domain: sassafrastray.DomainName('a' + rune(i)), Service: "s", Address: a, Slots: 4, Version: "v1",
		})
	}
	v.placement.do(func(t *placement.Table, _ time.Time) { t.Update(list, nil, now) })
}

// openServer returns the address of a server that accepts connections, and closedServer
// that of one that refuses them.
func openServer(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

func closedServer(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// TestPartitionIsTold checks that a VM which is partitioned from the backend servers is
// left out of look-ups, its own and those of others, and is no helper of others, until it
// reaches servers again. It guards against callers that are sent to such a VM.
func TestPartitionIsTold(t *testing.T) {
	vms, clock := newFleetVMs(t, 1)
	cut := vms["vm-r0-0-00"]
	settle := func() {
		for _, v := range vms {
			v.ready.Store(true)
		}
		for range 3 {
			clock.now = clock.now.Add(time.Second)
			exchangeHeartbeats(vms, notCut, clock.now)
		}
		for _, v := range vms {
			v.updateLookups(clock.now)
		}
	}
	named := func(v *VM) bool {
		for _, vm := range v.lookupView.Load().vms {
			if vm.Domain == cut.self.Domain {
				return !vm.Partitioned
			}
		}
		return false
	}
	helps := func(v *VM) bool {
		v.partition.partitioned.Store(true)
		defer v.partition.partitioned.Store(false)
		v.updateHelpers(clock.now)
		var exclude []sassafrastray.VMName
		for {
			vm, ok := v.partition.Helper([2][]sassafrastray.RegionName{}, exclude)
			if !ok {
				return false
			}
			if vm.Name == cut.self.Name {
				return true
			}
			exclude = append(exclude, vm.Name)
		}
	}
	check := func(when string, want bool) {
		t.Helper()
		for name, v := range vms {
			if named(v) != want {
				t.Errorf("%s: %s names the VM: %v", when, name, !want)
			}
			if v != cut && helps(v) != want {
				t.Errorf("%s: the VM is a helper of %s: %v", when, name, !want)
			}
		}
	}
	settle()
	check("before", true)
	e, changed := cut.partition.endProbe(6, 0)
	if !changed || !e.Partitioned {
		t.Fatal("no partition")
	}
	settle()
	check("partitioned", false)
	if vm, ok := cut.partition.Helper([2][]sassafrastray.RegionName{}, nil); !ok || cut.regionOf(vm) != cut.opt.Region {
		t.Errorf("the VM's helper is %v, want one of its region", vm)
	}
	if _, changed = cut.partition.endProbe(6, 6); !changed {
		t.Fatal("the partition has not ended")
	}
	settle()
	check("after", true)
}

// TestProbesTellPartition lets a VM probe servers of which all, some or none accept
// connections.
func TestProbesTellPartition(t *testing.T) {
	for _, c := range []struct {
		name         string
		open, closed int
		partitioned  bool
	}{
		{"all", 4, 0, false},
		{"some", 1, 3, false},
		{"none", 0, 4, true},
		{"no servers", 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, _ := newFleet(1)
			v := newFleetVM(t, list[0], sassafrastray.SystemClock{})
			var addresses []netip.AddrPort
			for range c.open {
				addresses = append(addresses, openServer(t))
			}
			for range c.closed {
				addresses = append(addresses, closedServer(t))
			}
			addBackends(v, time.Now(), addresses...)
			v.probeServers()
			if got := v.partition.Partitioned(); got != c.partitioned {
				t.Errorf("partitioned %v, want %v", got, c.partitioned)
			}
		})
	}
}

// TestReaches checks how a VM finds out whether the failure of a server is its own.
func TestReaches(t *testing.T) {
	list, _ := newFleet(1)
	failed := closedServer(t)
	for _, c := range []struct {
		name   string
		others []netip.AddrPort
		want   bool
	}{
		{"others are reached", []netip.AddrPort{openServer(t), openServer(t)}, true},
		{"no other is reached", []netip.AddrPort{closedServer(t), closedServer(t)}, false},
		{"there is no other", nil, true},
	} {
		v := newFleetVM(t, list[0], sassafrastray.SystemClock{})
		addBackends(v, time.Now(), append([]netip.AddrPort{failed}, c.others...)...)
		if got := v.partition.Reaches(failed); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestFailedDialsStartAProbe checks that requests which open no connection are enough for
// a VM to find out that it is partitioned.
func TestFailedDialsStartAProbe(t *testing.T) {
	list, _ := newFleet(1)
	v := newFleetVM(t, list[0], sassafrastray.SystemClock{})
	var addresses []netip.AddrPort
	for range 3 {
		addresses = append(addresses, closedServer(t))
	}
	addBackends(v, time.Now(), addresses...)
	for _, a := range addresses[:2] {
		v.pool.Refuses(a, time.Now().Add(time.Second))
	}
	for i := 0; !v.partition.Partitioned(); i++ {
		if i > 500 {
			t.Fatal("not partitioned")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHelpersAreSpread checks that VMs which are partitioned at the same time send their
// first requests to different helpers.
func TestHelpersAreSpread(t *testing.T) {
	vms, clock := newFleetVMs(t, 4)
	for _, v := range vms {
		v.ready.Store(true)
	}
	for range 3 {
		clock.now = clock.now.Add(time.Second)
		exchangeHeartbeats(vms, notCut, clock.now)
	}
	var first []sassafrastray.VMName
	for _, v := range vms {
		v.partition.partitioned.Store(true)
		v.updateHelpers(clock.now)
		vm, ok := v.partition.Helper([2][]sassafrastray.RegionName{}, nil)
		if !ok || v.regionOf(vm) != v.opt.Region {
			t.Fatalf("%s has the helper %v", v.self.Name, vm)
		}
		first = append(first, vm.Name)
	}
	slices.Sort(first)
	if n := len(slices.Compact(first)); n < 8 {
		t.Errorf("24 VMs choose %d helpers", n)
	}
}
