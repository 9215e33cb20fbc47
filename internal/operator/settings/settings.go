// Package settings reads the settings file of an entry VM.
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

// Log formats.
const (
	JSON Format = "json"
	Text Format = "text"
)

// Defaults and bounds of settings. Sizes are in bytes.
const (
	DefaultTTL         = 5 * time.Second
	DefaultDrain       = 30 * time.Second
	DefaultConnections = 4096
	DefaultHeaderSize  = 16 << 10

	// MinSecretSize is the size of the shortest accepted secret.
	MinSecretSize = 16
)

type (
	// Format is the format of log lines.
	Format string

	// Settings holds the settings that a VM's process reads at startup.
	Settings struct {
		Name   sassafrastray.VMName
		Domain sassafrastray.DomainName
		// Callers, Inner and Operations are the addresses to listen on for
		// callers, for other VMs and for operators.
		Callers    netip.AddrPort
		Inner      netip.AddrPort
		Operations netip.AddrPort
		// Store is the address of the platform's object store.
		Store netip.AddrPort
		// Secret authenticates VMs to each other.
		Secret Secret
		// Seeds are the inner addresses of other VMs to contact before the
		// platform's list of VMs has been read.
		Seeds  []netip.AddrPort
		Log    Log
		Timing Timing
		Limits Limits
		Faults Faults
	}

	// Faults enables fault injection for experiments. It must stay off in
	// production.
	Faults struct {
		// Allowed lets operators disconnect failure domains.
		Allowed bool
		// Delays delays messages between regions by the delay of their link.
		Delays bool
	}

	// Log holds the log's format, its level and what is logged.
	Log struct {
		Format Format
		Level  slog.Level
		// Decisions enables a log line per routing or placement decision.
		Decisions bool
	}

	// Timing holds the durations that are set per VM.
	Timing struct {
		// TTL is how long callers may cache the answer to a look-up.
		TTL time.Duration
		// Drain bounds the time from the signal to stop until the exit.
		Drain time.Duration
	}

	// Limits bounds the resources that callers can take up.
	Limits struct {
		// Connections is the maximum number of callers' connections.
		Connections int
		// Header is the maximum size of a request's header, in bytes.
		Header int
	}

	// Secret is a shared secret that is redacted in logs, messages and JSON.
	Secret string
)

// String returns a placeholder for the secret.
func (Secret) String() string { return "[secret]" }

// GoString returns a placeholder for the secret.
func (Secret) GoString() string { return "[secret]" }

// MarshalJSON encodes a placeholder for the secret.
func (s Secret) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// LogValue returns a placeholder for the secret.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }

// Load reads the settings file at path. The error lists every problem with its file,
// line and field.
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
	checkAddressConflicts(f, s)
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
	if len(data) < MinSecretSize {
		n.Problem("holds a secret of %d bytes; the minimum is %d", len(data), MinSecretSize)
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
	// Callers may send for up to one TTL after look-ups stop returning the VM.
	if t.Drain <= t.TTL {
		f.Get("drain").Problem("must be above the TTL of look-ups, %v", t.TTL)
	}
	return t
}

func readLimits(n document.Node) Limits {
	f := n.Fields("connections", "header")
	return Limits{
		Connections: f.Get("connections").Int(DefaultConnections, 1, 1<<20),
		Header:      int(f.Get("header").Size(DefaultHeaderSize, 1<<10, 1<<20)),
	}
}

func readFaults(n document.Node) Faults {
	f := n.Fields("allowed", "delays")
	faults := Faults{Allowed: f.Get("allowed").Bool(false), Delays: f.Get("delays").Bool(false)}
	if faults.Delays && !faults.Allowed {
		f.Get("delays").Problem("needs allowed: true")
	}
	return faults
}

// checkAddressConflicts reports listen addresses that can't be open at the same time,
// and a store address that is also a listen address.
func checkAddressConflicts(f document.Fields, s *Settings) {
	names := []string{"callers", "inner", "operations", "store"}
	addrs := []netip.AddrPort{s.Callers, s.Inner, s.Operations, s.Store}
	for i, a := range addrs {
		for j := range i {
			if conflict(a, addrs[j]) {
				f.Get(names[i]).Problem("%v clashes with %s %v", a, names[j], addrs[j])
			}
		}
	}
}

// conflict reports whether two addresses have the same port, and either the same IP
// address or one that is unspecified, such as 0.0.0.0.
func conflict(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
