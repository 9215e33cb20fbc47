package main

import (
	"log/slog"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/directory"
	"sassafrastray/internal/fleet/edge"
	"sassafrastray/internal/operator/asynclog"
	"sassafrastray/internal/operator/lifecycle"
	"sassafrastray/platform"
)

// steerCmd runs one entry VM on the platform until SIGTERM or SIGINT, and then
// drains.
type steerCmd struct {
	Settings string     `type:"path" help:"Settings file of the platform (YAML). Empty means the file that the platform's environment variable names."`
	Metrics  int        `default:"9464" help:"Port of the metrics on the VM's own address; 0 turns them off."`
	Lines    float64    `default:"100" help:"Limit of log lines of each level per second; errors are not limited."`
	Level    slog.Level `default:"info" help:"Lowest level of log lines: debug, info, warn or error."`
}

const steerUsage = `Runs one entry VM on the platform.

The VM learns its addresses, its failure domain and the store's address from the
settings file that the platform writes. The configuration, the backend servers
and the rollouts come from the store. On SIGTERM the VM removes itself from
look-up answers, finishes the requests in progress and exits. On SIGHUP it reads
the settings again and reports a mistake; a VM that is stopping ignores it.`

// softMemoryShare is the share of the memory available to the process that is set
// as Go's soft memory limit, near which the garbage collector runs more often.
const softMemoryShare = 0.6

// steerGCPercent lets the heap grow to twice the live data. On the platform's small
// VMs this needs half the memory of gcPercent, and a quarter more processor time.
const steerGCPercent = 100

// Help returns the text that --help shows.
func (steerCmd) Help() string { return steerUsage }

// Run serves until a signal arrives.
func (c steerCmd) Run(std *streams) error {
	signals := lifecycle.New()
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return errors.Newf("no settings: give --settings or set %s", platform.SettingsVariable)
	}
	set, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(steerGCPercent)
	if set.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(set.MemoryLimit)))
	}
	set.VM.Cores = directory.Size(set.Cores, set.LinkBytesPerSecond)
	sink := asynclog.New(std.out, asynclog.JSON)
	defer sink.Close()
	log := slog.New(sink.Handler(c.Level, c.Lines)).With("vm", set.VM.Name, "run", time.Now().UnixMilli())
	log.Info("starting", "version", version, "settings", path, "memory", set.MemoryLimit, "store", set.StoreAddress, "seeds", len(set.Seeds))
	store := platform.New(set.StoreAddress)
	defer store.Close()
	opt := c.options(set)
	if set.Usage != nil {
		reporter := platform.NewReporter(set.Usage.Address)
		defer reporter.Close()
		opt.Usage = &edge.UsageOptions{Store: store, Reporter: reporter, MaxPerSecond: set.Usage.MaxPerSecond}
	}
	v, err := edge.New(opt, store, sassafrastray.NewBootClock(), sassafrastray.SystemClock{}, log)
	if err != nil {
		return err
	}
	// The settings that a running VM uses do not change during its life, so new ones
	// are only checked.
	return v.Run(signals.Context(log, func() error {
		_, err := platform.ReadSettings(path)
		return err
	}))
}

// options converts the platform's settings to the options of the VM.
func (c steerCmd) options(set *platform.Settings) edge.Options {
	o := edge.Options{
		VM: set.VM, Region: set.Region, Regions: set.Regions, Ready: set.ReadyAddress, Lookups: set.LookupAddress,
		Seeds: set.Seeds, ReportInterval: set.ReportInterval, Memory: set.MemoryLimit, Descriptors: set.MaxDescriptors, LinkBytesPerSecond: set.LinkBytesPerSecond, Bounds: set.Bounds, Dialect: platform.Dialect(),
		LookupPath: platform.LookupPath, ReadyPath: platform.ReadyPath, EncodeAddresses: platform.FormatLookupResponse,
		ParseLookup: func(args *fasthttp.Args) (string, sassafrastray.RegionName) {
			q := platform.ParseLookupRequest(args)
			return q.Host, q.Region
		},
	}
	if c.Metrics > 0 {
		o.Metrics = netip.AddrPortFrom(set.VM.CallerAddress.Addr(), uint16(c.Metrics))
	}
	return o
}
