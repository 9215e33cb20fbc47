package scenario

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"sassafrastray"
)

// validate collects the problems with the values of a parsed case.
func (v *validator) validate(c *Case) {
	v.require(c.Name != "", "$.name", "is missing")
	v.require(len(c.Services) > 0, "$.services", "are missing")
	v.require(len(c.Teams) > 0, "$.teams", "are missing")
	v.require(len(c.Phases) > 0, "$.phases", "are missing")
	for i, vm := range c.VMs {
		_, err := netip.ParseAddrPort(vm)
		v.require(err == nil, fmt.Sprintf("$.vms[%d]", i), "%q is not an address with a port", vm)
	}
	for i, s := range c.Services {
		v.service(fmt.Sprintf("$.services[%d]", i), s)
		for _, other := range c.Services[:i] {
			v.require(other.Name != s.Name, fmt.Sprintf("$.services[%d].name", i), "%q is there twice", s.Name)
		}
	}
	for i, t := range c.Teams {
		v.team(fmt.Sprintf("$.teams[%d]", i), c, t)
		for _, other := range c.Teams[:i] {
			v.require(other.Name != t.Name, fmt.Sprintf("$.teams[%d].name", i), "%q is there twice", t.Name)
		}
	}
	for i, p := range c.Phases {
		v.phase(fmt.Sprintf("$.phases[%d]", i), c, p)
	}
	for i, e := range c.Events {
		path := fmt.Sprintf("$.events[%d]", i)
		v.require(e.At >= 0 && e.At <= c.Length(), path+".at", "%s is outside the run of %s", e.At, c.Length())
		v.require(strings.HasPrefix(e.URL, "http://"), path+".put", "%q is not an http URL", e.URL)
	}
}

func (v *validator) service(path string, s Service) {
	v.require(s.Name != "", path+".name", "is missing")
	v.require(s.Host != "", path+".host", "is missing")
	v.require(len(s.Kinds) > 0, path+".kinds", "are missing")
	for i, kind := range s.Kinds {
		kindPath := fmt.Sprintf("%s.kinds[%d]", path, i)
		v.require(kind.Name != "", kindPath+".name", "is missing")
		v.require(strings.HasPrefix(kind.Path, "/"), kindPath+".path", "%q does not begin with a slash", kind.Path)
		v.require(kind.Weight > 0, kindPath+".weight", "%d is not positive", kind.Weight)
		v.require(kind.Size >= 0, kindPath+".size", "%d is negative", kind.Size)
		v.require(kind.Download >= 0, kindPath+".download", "%d is negative", kind.Download)
		v.require(kind.Timeout > 0, kindPath+".timeout", "%s is not positive", kind.Timeout)
		methods := []string{"GET", "POST", "PUT", "DELETE", "PATCH"}
		v.require(slices.Contains(methods, kind.Method), kindPath+".method", "%q is not one of %v", kind.Method, methods)
	}
}

func (v *validator) team(path string, c *Case, t Team) {
	v.require(t.Name != "", path+".name", "is missing")
	v.require(t.Key != "", path+".key", "is missing")
	v.require(len(t.Demand) > 0, path+".demand", "is missing")
	for _, name := range slices.Sorted(maps.Keys(t.Demand)) {
		demandPath, d := path+".demand."+string(name), t.Demand[name]
		v.require(c.Service(name) != nil, demandPath, "there is no service %q", name)
		v.require(d.Rate >= 0, demandPath+".rate", "%g is negative", d.Rate)
		v.require(d.Quota >= 0, demandPath+".quota", "%g is negative", d.Quota)
		v.require(d.Burst >= 0, demandPath+".burst", "%d is negative", d.Burst)
	}
}

func (v *validator) phase(path string, c *Case, p Phase) {
	v.require(p.Length > 0, path+".length", "%s is not positive", p.Length)
	v.require(p.Factor > 0, path+".factor", "%g is not positive", p.Factor)
	for _, name := range slices.Sorted(maps.Keys(p.Teams)) {
		teamPath := path + ".teams." + string(name)
		known := slices.ContainsFunc(c.Teams, func(t Team) bool { return t.Name == name })
		v.require(known, teamPath, "there is no team %q", sassafrastray.TeamName(name))
		v.require(p.Teams[name] >= 0, teamPath, "%g is negative", p.Teams[name])
	}
}

// require adds a problem of the field at the path unless ok is true.
func (v *validator) require(ok bool, path, format string, args ...any) {
	if !ok {
		v.add(path, format, args...)
	}
}
