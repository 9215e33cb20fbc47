// Package fault decides which faults a simulated store injects into its calls.
package fault

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/standin/call"
)

// Modes, which apply to all calls.
const (
	// Normal serves calls.
	Normal Mode = ""
	// Busy rejects calls with status 503.
	Busy Mode = "busy"
	// Refuse closes the listener and all connections.
	Refuse Mode = "refuse"
	// Silent accepts calls and never responds.
	Silent Mode = "silent"
)

// Actions of the store on a call.
const (
	Serve        Action = iota // execute the call and respond
	Reject                     // respond with 503 without executing the call
	Throttle                   // respond with 429 without executing the call
	Close                      // close the connection without executing the call
	Hang                       // never respond and do not execute the call
	LoseResponse               // execute the call, then close the connection
)

type (
	// Mode is a fault that affects all calls.
	Mode string
	// Action is what the store does with a call.
	Action int

	// Settings are the faults to inject. The zero value injects none.
	Settings struct {
		Mode Mode `json:"mode" yaml:"mode"`
		// Delay is added to each call.
		Delay time.Duration `json:"delay" yaml:"delay"`
		// LoseCount is how many of the next writes take effect without a
		// response.
		LoseCount int `json:"lose" yaml:"lose"`
		// LoseChance is the probability that a write takes effect without
		// a response.
		LoseChance float64 `json:"chance" yaml:"chance"`
		// ReadsPerSec and WritesPerSec limit the calls served in each second;
		// 0 means no limit.
		ReadsPerSec  int `json:"reads" yaml:"reads"`
		WritesPerSec int `json:"writes" yaml:"writes"`
	}

	// Injector chooses the action on each call from the settings. It is not safe
	// for concurrent use.
	Injector struct {
		settings    Settings
		partitioned []sassafrastray.DomainName
		rand        *rand.Rand
		// second is the Unix time of the second in which reads and writes were
		// counted.
		second int64
		reads  int
		writes int
	}
)

// New returns an injector without faults. LoseChance draws from r.
func New(r *rand.Rand) *Injector { return &Injector{rand: r} }

// Settings returns the current settings. LoseCount is the number of responses
// still to be lost.
func (i *Injector) Settings() Settings { return i.settings }

// Set replaces the settings. It returns an error if the mode is unknown.
func (i *Injector) Set(settings Settings) error {
	if !slices.Contains([]Mode{Normal, Busy, Refuse, Silent}, settings.Mode) {
		return errors.Newf("mode %q is not one of busy, refuse and silent", settings.Mode)
	}
	i.settings = settings
	return nil
}

// Partition replaces the set of failure domains that are cut off from the store.
// Their calls get no response.
func (i *Injector) Partition(domains []sassafrastray.DomainName) { i.partitioned = domains }

// Partitioned returns the failure domains that are cut off.
func (i *Injector) Partitioned() []sassafrastray.DomainName { return i.partitioned }

// Decide returns the action on a call of kind k from failure domain d. Unless the
// mode or a partition stops the call, it counts toward the limits, and toward
// LoseCount if its response is lost.
func (i *Injector) Decide(k call.Kind, d sassafrastray.DomainName, now time.Time) Action {
	if a := i.DomainAction(d); a != Serve {
		return a
	}
	switch {
	case i.exceedsLimit(k, now):
		return Throttle
	case k.IsWrite() && i.losesResponse():
		return LoseResponse
	default:
		return Serve
	}
}

// DomainAction returns the action that the mode and the partition require for all
// calls from failure domain d, which is Serve if neither affects them.
func (i *Injector) DomainAction(d sassafrastray.DomainName) Action {
	switch {
	case i.settings.Mode == Silent || slices.Contains(i.partitioned, d):
		return Hang
	case i.settings.Mode == Refuse:
		return Close
	case i.settings.Mode == Busy:
		return Reject
	default:
		return Serve
	}
}

// exceedsLimit counts the call and reports whether it exceeds the limit on its
// kind in the current second.
func (i *Injector) exceedsLimit(k call.Kind, now time.Time) bool {
	if now.Unix() != i.second {
		i.second, i.reads, i.writes = now.Unix(), 0, 0
	}
	n, limit := &i.reads, i.settings.ReadsPerSec
	if k.IsWrite() {
		n, limit = &i.writes, i.settings.WritesPerSec
	}
	*n++
	return limit > 0 && *n > limit
}

// losesResponse reports whether to lose the response to a write, and counts it
// toward LoseCount.
func (i *Injector) losesResponse() bool {
	if i.settings.LoseCount > 0 {
		i.settings.LoseCount--
		return true
	}
	return i.settings.LoseChance > 0 && i.rand.Float64() < i.settings.LoseChance
}
