package main

import (
	"log/slog"
	"runtime/debug"
	"time"

	"sassafrastray"
	"sassafrastray/internal/fleet/vm"
	"sassafrastray/internal/object/store"
	"sassafrastray/internal/operator/asynclog"
	"sassafrastray/internal/operator/lifecycle"
	"sassafrastray/internal/operator/settings"
)

// serveCmd runs one entry VM until SIGTERM or SIGINT, and then drains.
type serveCmd struct {
	Config string `short:"c" required:"" type:"existingfile" help:"Settings file of the VM (YAML)."`
}

const serveUsage = `Runs one entry VM.

The VM listens for callers, for other VMs and for operators on the addresses of
its settings file. On SIGTERM it removes itself from look-up answers, finishes
the requests in progress and exits. On SIGHUP it reads the settings again and
reports a mistake; a VM that is stopping ignores it.`

const (
	// gcPercent lets the heap grow to five times the live data.
	gcPercent = 400

	// maxLinesPerSecond bounds the log lines of each level. At 17 us each they
	// take at most 2% of a core.
	maxLinesPerSecond = 1000
)

// Help returns the text that --help shows.
func (serveCmd) Help() string { return serveUsage }

// Run serves until a signal arrives.
func (c serveCmd) Run(std *streams) error {
	signals := lifecycle.New()
	set, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	// A VM has little live data, so by default the garbage collector would run
	// several times a second for a few megabytes.
	debug.SetGCPercent(gcPercent)
	format := asynclog.JSON
	if set.Log.Format == settings.Text {
		format = asynclog.Text
	}
	sink := asynclog.New(std.err, format)
	defer sink.Close()
	log := slog.New(sink.Handler(set.Log.Level, maxLinesPerSecond)).With("vm", set.Name, "run", time.Now().UnixMilli())
	platform := store.New(set.Store, set.Domain, string(set.Name))
	defer platform.Close()
	v, err := vm.New(set, platform, sassafrastray.SystemClock{}, log)
	if err != nil {
		return err
	}
	// The settings that a running VM uses do not change during its life, so new ones
	// are only checked.
	return v.Run(signals.Context(log, func() error {
		_, err := settings.Load(c.Config)
		return err
	}))
}
