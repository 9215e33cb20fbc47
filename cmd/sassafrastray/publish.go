package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/object/store"
	"sassafrastray/internal/operator/config"
	"sassafrastray/internal/operator/publish"
)

const (
	requestTimeout = 2 * time.Second
	statusPath     = "/status"
)

// publishCmd publishes operators' files in the store.
type publishCmd struct {
	Dir      string           `arg:"" help:"Directory with fleet.yaml and the services' files."`
	Store    netip.AddrPort   `help:"Address of the object store." required:""`
	Operator string           `help:"Name of the operator who publishes; by default user@host." placeholder:"NAME"`
	Timeout  time.Duration    `help:"How long to retry while the store is unavailable." default:"1m"`
	Wait     time.Duration    `help:"How long to wait until the configuration is in force everywhere."`
	VM       []netip.AddrPort `help:"Operations address of a VM to ask, with --wait; may be repeated." name:"vm"`
	Repair   bool             `help:"Replace a configuration in the store that cannot be read."`
}

// Help returns the long usage text.
func (publishCmd) Help() string {
	return `Checks the files, also against the configuration in force, and publishes them
under the next number. If another operator publishes meanwhile, nothing is
overwritten and the exit code is 1. Publishing the same files again is safe:
content that is already in force gets no new number.

With --wait the VMs named by --vm are asked until the configuration is in
force everywhere; if time runs out, the VMs without it are listed and the exit
code is 1. In a partitioned network, name a VM of each partition.`
}

// Validate checks flags that depend on each other.
func (c *publishCmd) Validate() error {
	if (c.Wait > 0) != (len(c.VM) > 0) {
		return errors.New("--wait and --vm go together")
	}
	return nil
}

// Run publishes and waits.
func (c *publishCmd) Run(std *streams) error {
	// Mistakes within the files are reported without the store.
	if _, r := config.Check(c.Dir, time.Now(), nil); r.Failed() {
		printReport(std, r)
		return errors.Newf("%s: %d problems, nothing published", c.Dir, r.ErrorCount())
	}
	client := store.New(c.Store, "", "publish")
	defer client.Close()
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p := publish.New(client, sleep, seed, publish.ID(c.operator(), seed))
	ctx, stop := context.WithTimeout(context.Background(), c.Timeout)
	defer stop()
	result, err := c.publish(ctx, std, p)
	if err != nil {
		return err
	}
	if err := report(std, result); err != nil {
		return err
	}
	if c.Wait > 0 {
		return c.await(std, result.Number)
	}
	return nil
}

func (c *publishCmd) publish(ctx context.Context, std *streams, p *publish.Publisher) (publish.Result, error) {
	base, err := p.Base(ctx)
	switch {
	case errors.Is(err, publish.ErrUnreadable) && c.Repair:
		fmt.Fprintf(std.err, "warning: %v; it is replaced without comparison\n", err)
	case errors.Is(err, publish.ErrUnreadable):
		return publish.Result{}, errors.Newf("number %d can't be read (%v); --repair replaces it", base.Head.Number, err)
	case err != nil:
		return publish.Result{}, errors.Newf("nothing published, the store gave no answer: %v", err)
	}
	cfg, r := config.Check(c.Dir, time.Now(), base.Previous())
	printReport(std, r)
	if r.Failed() {
		return publish.Result{}, errors.Newf("%s: %d problems, nothing published", c.Dir, r.ErrorCount())
	}
	return p.Put(ctx, base, cfg)
}

// report prints the result, and returns an error unless the files' content is
// what the store holds.
func report(std *streams, result publish.Result) error {
	switch result.Outcome {
	case publish.Published:
		fmt.Fprintf(std.out, "configuration %d published by %s\n", result.Number, result.Publish)
		return nil
	case publish.Unchanged:
		fmt.Fprintf(std.out, "configuration %d, published by %s, has this content already\n", result.Number, result.Publish)
		return nil
	case publish.Conflict:
		by := result.WonBy
		if by == "" {
			by = "another operator"
		}
		return errors.Newf("number %d was published by %s meanwhile; nothing was overwritten", result.Number, by)
	case publish.Refused:
		return errors.Newf("nothing published, the store did not accept it in time: %v", result.Err)
	}
	return errors.Newf("number %d may or may not be published as %s: %v; publish again to find out", result.Number, result.Publish, result.Err)
}

func (c *publishCmd) await(std *streams, number int64) error {
	ctx, stop := context.WithTimeout(context.Background(), c.Wait)
	defer stop()
	p := publish.Await(ctx, fetchStatus, sleep, c.VM, number)
	if p.Done() {
		fmt.Fprintf(std.out, "configuration %d is in force on all %d VMs\n", number, p.Total)
		return nil
	}
	for _, v := range p.Behind {
		fmt.Fprintf(std.err, "%s in %s: at number %d, heard of %v ago\n", v.Name, v.Domain, v.Config, v.Age.Round(time.Millisecond))
	}
	for _, vm := range p.Unreachable {
		fmt.Fprintf(std.err, "%v: no answer\n", vm)
	}
	return errors.Newf("configuration %d is not known to be in force everywhere after %v: %d of %d VMs are behind, %d of %d asked gave no answer",
		number, c.Wait, len(p.Behind), p.Total, len(p.Unreachable), len(c.VM))
}

// fetchStatus reads a VM's status page.
func fetchStatus(ctx context.Context, vm netip.AddrPort) (publish.Status, error) {
	var s publish.Status
	body, err := get(ctx, vm, statusPath)
	if err != nil {
		return s, err
	}
	return s, errors.Wrap(json.Unmarshal(body, &s), "status")
}

func (c *publishCmd) operator() string {
	if c.Operator != "" {
		return c.Operator
	}
	user, host := os.Getenv("USER"), "unknown"
	if user == "" {
		user = "unknown"
	}
	if h, err := os.Hostname(); err == nil {
		host = h
	}
	return user + "@" + host
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
