package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"sassafrastray"
	"sassafrastray/internal/fleet/vm"
	"sassafrastray/internal/object/store"
	"sassafrastray/internal/operator/settings"
)

// serveCmd runs one entry VM until SIGTERM or SIGINT, and then drains.
type serveCmd struct {
	Config string `short:"c" required:"" type:"existingfile" help:"Settings file of the VM (YAML)."`
}

const serveUsage = `Runs one entry VM.

The VM listens for callers, for other VMs and for operators on the addresses of
its settings file. On SIGTERM it leaves the look-ups, finishes the requests
under way and exits.`

// gcPercent lets the heap grow to five times of what is in use.
const gcPercent = 400

// Help returns the text that --help shows.
func (serveCmd) Help() string { return serveUsage }

// Run serves until a signal arrives.
func (c serveCmd) Run(std *streams) error {
	set, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	// A VM holds little, so that the collector's usual pace would run it
	// several times a second for a few megabytes.
	debug.SetGCPercent(gcPercent)
	log := slog.New(handler(set.Log, std))
	platform := store.New(set.Store, set.Domain, string(set.Name))
	defer platform.Close()
	v, err := vm.New(set, platform, sassafrastray.SystemClock{}, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return v.Run(ctx)
}

func handler(l settings.Log, std *streams) slog.Handler {
	opt := &slog.HandlerOptions{Level: l.Level}
	if l.Format == settings.Text {
		return slog.NewTextHandler(std.err, opt)
	}
	return slog.NewJSONHandler(std.err, opt)
}
