// Package settings reads the settings file of one VM.
package settings

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/operator/document"
)

// Forms of log lines.
const (
	JSON Format = "json"
	Text Format = "text"
)

// Bounds and defaults of the settings that have them.
const (
	DefaultTTL         = 5 * time.Second
	DefaultDrain       = 30 * time.Second
	DefaultConnections = 4096
	DefaultHeader      = 16 << 10

	// MinSecret is the length of the shortest accepted secret, in bytes.
	MinSecret = 16
)

type (
	// Format is the form of log lines.
	Format string

	// Settings are what one VM's process learns when it starts.
	Settings struct {
		Name   sassafrastray.VMName
		Domain sassafrastray.DomainName
		// Callers, Inner and Operations are the addresses to listen on.
		Callers    netip.AddrPort
		Inner      netip.AddrPort
		Operations netip.AddrPort
		// Store is the platform's object store.
		Store netip.AddrPort
		// Secret authenticates VMs to each other.
		Secret Secret
		// Seeds are the inner addresses of other VMs, for the time before
		// the platform's list of VMs has been read.
		Seeds  []netip.AddrPort
		Log    Log
		Timing Timing
		Limits Limits
		Faults Faults
	}

	// Faults are for experiments and stay off in service.
	Faults struct {
		// Allowed lets operators cut failure domains off.
		Allowed bool
		// Delays makes messages between regions as late as their link says.
		Delays bool
	}

	// Log is what the process writes to its log, and how.
	Log struct {
		Format Format
		Level  slog.Level
		// Decisions turns on a line for each routing or placement decision.
		Decisions bool
	}

	// Timing holds the VM's own durations.
	Timing struct {
		// TTL is how long callers keep the answer to a look-up.
		TTL time.Duration
		// Drain bounds the time from the order to stop to the exit.
		Drain time.Duration
	}

	// Limits bound what callers can make the process hold.
	Limits struct {
		// Connections is the greatest number of callers' connections.
		Connections int
		// Header is the size of the largest request header in bytes.
		Header int
	}

	// Secret is a shared secret that log lines and messages never show.
	Secret string
)

// String hides the secret.
func (Secret) String() string { return "[secret]" }

// GoString hides the secret.
func (Secret) GoString() string { return "[secret]" }

// MarshalJSON hides the secret.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// LogValue hides the secret.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }

// Load reads the settings file at path. The error lists every problem with
// file, line and field.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	r := &document.Report{}
	s := read(document.Parse(path, data, r))
	if err := r.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func read(n document.Node) *Settings {
	if !n.Exists() {
		n.Problem("holds no settings")
		return nil
	}
	f := n.Fields("name", "domain", "callers", "inner", "operations", "store",
		"secret", "seeds", "log", "timing", "limits", "faults")
	s := &Settings{
		Name:       sassafrastray.VMName(f.Required("name").Name()),
		Domain:     sassafrastray.DomainName(f.Required("domain").Name()),
		Callers:    f.Required("callers").AddrPort(),
		Inner:      f.Required("inner").AddrPort(),
		Operations: f.Required("operations").AddrPort(),
		Store:      f.Required("store").AddrPort(),
		Secret:     readSecret(f.Required("secret")),
		Log:        readLog(f.Get("log")),
		Timing:     readTiming(f.Get("timing")),
		Limits:     readLimits(f.Get("limits")),
		Faults:     readFaults(f.Get("faults")),
	}
	s.Seeds = readSeeds(f.Get("seeds"), s.Inner)
	checkClashes(f, s)
	return s
}

func readSecret(n document.Node) Secret {
	if !n.Exists() {
		return ""
	}
	f := n.Fields("file", "env")
	file, env := f.Get("file"), f.Get("env")
	if n.IsMapping() && file.Exists() == env.Exists() {
		n.Problem("must name either a file or an environment variable (env)")
		return ""
	}
	if file.Exists() {
		return secretFromFile(file)
	}
	if !env.Exists() {
		return ""
	}
	return checkSecret(env, []byte(os.Getenv(env.Text())))
}

func secretFromFile(n document.Node) Secret {
	path := n.Text()
	if path == "" {
		return ""
	}
	data, err := os.ReadFile(path)
	if err != nil {
		n.Problem("cannot be read: %v", err)
		return ""
	}
	return checkSecret(n, data)
}

func checkSecret(n document.Node, data []byte) Secret {
	data = bytes.TrimSpace(data)
	if len(data) < MinSecret {
		n.Problem("holds a secret of %d bytes; the least is %d", len(data), MinSecret)
		return ""
	}
	return Secret(data)
}

func readSeeds(n document.Node, own netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	seen := map[netip.AddrPort]bool{}
	for _, item := range n.Items() {
		a := item.AddrPort()
		switch {
		case !a.IsValid():
		case seen[a]:
			item.Problem("%v is given twice", a)
		case a == own:
			item.Warn("%v is this VM's own inner address", a)
		default:
			out = append(out, a)
		}
		seen[a] = true
	}
	return out
}

func readLog(n document.Node) Log {
	f := n.Fields("format", "level", "decisions")
	l := Log{Format: JSON, Decisions: f.Get("decisions").Bool(true)}
	if v := f.Get("format"); v.Exists() {
		l.Format = Format(v.Text())
		if l.Format != JSON && l.Format != Text {
			v.Problem("must be json or text")
		}
	}
	if v := f.Get("level"); v.Exists() {
		s := v.Text()
		if err := l.Level.UnmarshalText([]byte(s)); err != nil || s != strings.ToLower(s) {
			v.Problem("must be debug, info, warn or error")
		}
	}
	return l
}

func readTiming(n document.Node) Timing {
	f := n.Fields("ttl", "drain")
	t := Timing{
		TTL:   f.Get("ttl").Duration(DefaultTTL, time.Second, 5*time.Minute),
		Drain: f.Get("drain").Duration(DefaultDrain, time.Second, time.Hour),
	}
	// Callers keep sending for one TTL after the VM has left the look-ups.
	if t.Drain <= t.TTL {
		f.Get("drain").Problem("must be above the TTL of look-ups, %v", t.TTL)
	}
	return t
}

func readLimits(n document.Node) Limits {
	f := n.Fields("connections", "header")
	return Limits{
		Connections: f.Get("connections").Int(DefaultConnections, 1, 1<<20),
		Header:      int(f.Get("header").Size(DefaultHeader, 1<<10, 1<<20)),
	}
}

func readFaults(n document.Node) Faults {
	f := n.Fields("allowed", "delays")
	x := Faults{Allowed: f.Get("allowed").Bool(false), Delays: f.Get("delays").Bool(false)}
	if x.Delays && !x.Allowed {
		f.Get("delays").Problem("needs allowed: true")
	}
	return x
}

// checkClashes reports listeners that can't be open at the same time, and a
// store that is one of them.
func checkClashes(f document.Fields, s *Settings) {
	names := []string{"callers", "inner", "operations", "store"}
	addrs := []netip.AddrPort{s.Callers, s.Inner, s.Operations, s.Store}
	for i, a := range addrs {
		for j := range i {
			if clash(a, addrs[j]) {
				f.Get(names[i]).Problem("%v clashes with %s %v", a, names[j], addrs[j])
			}
		}
	}
}

// clash tells whether two addresses have the same port and either the same
// address or one that stands for all.
func clash(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
