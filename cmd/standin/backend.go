package main

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/operator/config"
	"sassafrastray/internal/standin/backend"
	"sassafrastray/internal/standin/registry"
	"sassafrastray/internal/standin/server"
	"sassafrastray/platform"
)

type backendCmd struct {
	Control netip.AddrPort `help:"Address for control calls." default:"127.0.0.1:7101"`
	Servers string         `help:"YAML file with many servers; it replaces the flags for one." type:"existingfile"`
	Config  string         `help:"Directory of operators' files; all their backend servers are run." type:"existingdir"`
	Seed    uint64         `help:"Seed of the processing times and the random faults." default:"1"`

	Name    string         `help:"The server's name." default:"server"`
	Service string         `help:"The service that it serves." default:"service"`
	Version string         `help:"The version of its code." default:"v1"`
	Listen  netip.AddrPort `help:"Address for requests." default:"127.0.0.1:7102"`
	Slots   int            `help:"Requests that it processes at once." default:"3"`
	Time    time.Duration  `help:"Median processing time of a request." default:"10ms"`
	Spread  float64        `help:"Standard deviation of the logarithm of that time." default:"0.3"`
	Count   int            `help:"Number of such servers, with consecutive ports."`

	Registry netip.AddrPort `help:"Address of a metadata store at which the servers register themselves; they then use the platform's dialect."`
}

func (c *backendCmd) Run(log *slog.Logger) error {
	servers, err := c.servers()
	if err != nil {
		return err
	}
	f, err := backend.New(sassafrastray.SystemClock{}, log, rand.New(rand.NewPCG(c.Seed, 0)), servers)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if c.Registry.IsValid() {
		f.SetDialect(platform.Dialect())
		go registry.NewAnnouncer(c.Registry).Run(ctx, f.Registrations)
	}
	return f.Serve(ctx, c.Control)
}

func (c *backendCmd) servers() ([]server.Settings, error) {
	if c.Servers != "" {
		b, err := os.ReadFile(c.Servers)
		if err != nil {
			return nil, errors.Wrap(err, "read servers")
		}
		return server.Parse(b)
	}
	if c.Config != "" {
		return configuredServers(c.Config, c.Time, c.Spread)
	}
	return server.Group(server.Settings{
		Name:    sassafrastray.BackendName(c.Name),
		Service: sassafrastray.ServiceName(c.Service),
		Version: sassafrastray.VersionName(c.Version),
		Listen:  c.Listen, Slots: c.Slots, MedianTime: c.Time, Spread: c.Spread,
	}, c.Count), nil
}

// configuredServers returns the backend servers of a directory of operators' files.
func configuredServers(dir string, median time.Duration, spread float64) ([]server.Settings, error) {
	conf, err := config.Load(dir)
	if err != nil {
		return nil, err
	}
	var all []server.Settings
	for _, s := range conf.Services {
		for _, b := range s.Backends {
			all = append(all, server.Settings{
				Name: b.Name, Service: s.Name, Version: b.Version,
				Listen: b.Address, Slots: b.Slots, MedianTime: median, Spread: spread,
			})
		}
	}
	return all, nil
}

// currentServers returns the configured backend servers that run the version
// their service uses.
func currentServers(dir string) ([]server.Settings, error) {
	conf, err := config.Load(dir)
	if err != nil {
		return nil, err
	}
	all, err := configuredServers(dir, 0, 0)
	return slices.DeleteFunc(all, func(s server.Settings) bool {
		return conf.Service(s.Service).Version != s.Version
	}), err
}
