package main

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/fleet/directory"
	"sassafrastray/internal/fleet/edge"
	"sassafrastray/internal/operator/logbook"
	"sassafrastray/platform"
)

// steerCmd runs one entry VM on the platform until SIGTERM or SIGINT, and then
// drains.
type steerCmd struct {
	Settings string     `type:"path" help:"Settings file of the platform (YAML). Empty means the file that the platform's environment variable names."`
	Metrics  int        `default:"9464" help:"Port of the metrics on the VM's own address; 0 turns them off."`
	Lines    float64    `default:"100" help:"Log lines of each level in a second; errors are never held back."`
	Level    slog.Level `default:"info" help:"Least level of log lines: debug, info, warn or error."`
}

const steerUsage = `Runs one entry VM on the platform.

The VM learns its addresses, its failure domain and the store's address from the
settings file that the platform writes. The configuration, the backend servers
and the rollouts come from the store. On SIGTERM the VM leaves the look-ups,
finishes the requests under way and exits. SIGHUP makes it read the settings
again.`

// memoryPart is the part of the memory that the process may have at which the
// collector works harder.
const memoryPart = 0.6

// steerGCPercent lets the heap grow to twice of what is in use. On the platform's
// small VMs that halves the memory of gcPercent for a quarter more processor time.
const steerGCPercent = 100

// Help returns the text that --help shows.
func (steerCmd) Help() string { return steerUsage }

// Run serves until a signal arrives.
func (c steerCmd) Run(std *streams) error {
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
	if set.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(set.Memory)))
	}
	set.VM.Size = directory.Size(set.Cores, set.Link)
	book := logbook.New(std.out, logbook.JSON)
	defer book.Close()
	log := slog.New(book.Handler(c.Level, c.Lines)).With("vm", set.VM.Name, "run", time.Now().UnixMilli())
	log.Info("starting", "version", version, "settings", path, "memory", set.Memory, "store", set.Store, "seeds", len(set.Seeds))
	feed := platform.New(set.Store)
	defer feed.Close()
	v, err := edge.New(c.options(set), feed, sassafrastray.NewBootClock(), sassafrastray.SystemClock{}, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	go reload(ctx, path, log)
	return v.Run(ctx)
}

// options turns the platform's settings into those of the VM.
func (c steerCmd) options(set *platform.Settings) edge.Options {
	o := edge.Options{
		VM: set.VM, Region: set.Region, Regions: set.Regions, Ready: set.Ready, Lookups: set.Lookups,
		Seeds: set.Seeds, Bounds: set.Bounds, Dialect: platform.Dialect(),
		LookupPath: platform.LookupPath, ReadyPath: platform.ReadyPath, EncodeAddresses: platform.FormatAnswer,
		ParseLookup: func(args *fasthttp.Args) (string, sassafrastray.RegionName) {
			q := platform.ParseQuestion(args)
			return q.Host, q.Region
		},
	}
	if c.Metrics > 0 {
		o.Metrics = netip.AddrPortFrom(set.VM.Callers.Addr(), uint16(c.Metrics))
	}
	return o
}

// reload reads the settings again at each SIGHUP. What a running VM uses of
// them does not change while it lives, so that a difference is only reported.
func reload(ctx context.Context, path string, log *slog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			set, err := platform.ReadSettings(path)
			if err != nil {
				log.Error("settings not read again; the old ones stay", "error", err.Error())
				continue
			}
			log.Info("settings read again", "named", set.VM.Name)
		}
	}
}
