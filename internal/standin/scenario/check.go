package scenario

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"sassafrastray"
)

// check finds all that is wrong with the values of a case.
func (k *checker) check(c *Case) {
	k.need(c.Name != "", "$.name", "is missing")
	k.need(len(c.Services) > 0, "$.services", "are missing")
	k.need(len(c.Teams) > 0, "$.teams", "are missing")
	k.need(len(c.Phases) > 0, "$.phases", "are missing")
	for i, vm := range c.VMs {
		_, err := netip.ParseAddrPort(vm)
		k.need(err == nil, fmt.Sprintf("$.vms[%d]", i), "%q is not an address with a port", vm)
	}
	for i, s := range c.Services {
		k.service(fmt.Sprintf("$.services[%d]", i), s)
		for _, other := range c.Services[:i] {
			k.need(other.Name != s.Name, fmt.Sprintf("$.services[%d].name", i), "%q is there twice", s.Name)
		}
	}
	for i, t := range c.Teams {
		k.team(fmt.Sprintf("$.teams[%d]", i), c, t)
		for _, other := range c.Teams[:i] {
			k.need(other.Name != t.Name, fmt.Sprintf("$.teams[%d].name", i), "%q is there twice", t.Name)
		}
	}
	for i, p := range c.Phases {
		k.phase(fmt.Sprintf("$.phases[%d]", i), c, p)
	}
	for i, e := range c.Events {
		at := fmt.Sprintf("$.events[%d]", i)
		k.need(e.At >= 0 && e.At <= c.Length(), at+".at", "%s is outside the run of %s", e.At, c.Length())
		k.need(strings.HasPrefix(e.Put, "http://"), at+".put", "%q is not an http URL", e.Put)
	}
}

func (k *checker) service(path string, s Service) {
	k.need(s.Name != "", path+".name", "is missing")
	k.need(s.Host != "", path+".host", "is missing")
	k.need(len(s.Kinds) > 0, path+".kinds", "are missing")
	for i, kind := range s.Kinds {
		at := fmt.Sprintf("%s.kinds[%d]", path, i)
		k.need(kind.Name != "", at+".name", "is missing")
		k.need(strings.HasPrefix(kind.Path, "/"), at+".path", "%q does not begin with a slash", kind.Path)
		k.need(kind.Weight > 0, at+".weight", "%d is not positive", kind.Weight)
		k.need(kind.Size >= 0, at+".size", "%d is negative", kind.Size)
		k.need(kind.Download >= 0, at+".download", "%d is negative", kind.Download)
		k.need(kind.Timeout > 0, at+".timeout", "%s is not positive", kind.Timeout)
		methods := []string{"GET", "POST", "PUT", "DELETE", "PATCH"}
		k.need(slices.Contains(methods, kind.Method), at+".method", "%q is not one of %v", kind.Method, methods)
	}
}

func (k *checker) team(path string, c *Case, t Team) {
	k.need(t.Name != "", path+".name", "is missing")
	k.need(t.Key != "", path+".key", "is missing")
	k.need(len(t.Demand) > 0, path+".demand", "is missing")
	for _, name := range slices.Sorted(maps.Keys(t.Demand)) {
		at, d := path+".demand."+string(name), t.Demand[name]
		k.need(c.Service(name) != nil, at, "there is no service %q", name)
		k.need(d.Rate >= 0, at+".rate", "%g is negative", d.Rate)
		k.need(d.Quota >= 0, at+".quota", "%g is negative", d.Quota)
		k.need(d.Burst >= 0, at+".burst", "%d is negative", d.Burst)
	}
}

func (k *checker) phase(path string, c *Case, p Phase) {
	k.need(p.Length > 0, path+".length", "%s is not positive", p.Length)
	k.need(p.Factor > 0, path+".factor", "%g is not positive", p.Factor)
	for _, name := range slices.Sorted(maps.Keys(p.Teams)) {
		at := path + ".teams." + string(name)
		known := slices.ContainsFunc(c.Teams, func(t Team) bool { return t.Name == name })
		k.need(known, at, "there is no team %q", sassafrastray.TeamName(name))
		k.need(p.Teams[name] >= 0, at, "%g is negative", p.Teams[name])
	}
}

func (k *checker) need(ok bool, path, text string, args ...any) {
	if !ok {
		k.add(path, text, args...)
	}
}
