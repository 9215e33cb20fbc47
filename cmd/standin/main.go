// Command standin takes the place of what surrounds the system in tests: the
// platform's object store and list of VMs, backend servers, and callers.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/alecthomas/kong"
)

type (
	// cli is the command line; each subcommand is in a file of its own.
	cli struct {
		Store   storeCmd   `cmd:"" help:"Serve an object store and a list of VMs."`
		Backend backendCmd `cmd:"" help:"Serve backend servers."`
	}

	// streams are the standard streams, so that tests can replace them.
	streams struct {
		out, err io.Writer
	}
)

const usage = "Stands in for the platform, backend servers and callers."

func main() {
	os.Exit(run(os.Args[1:], &streams{os.Stdout, os.Stderr}))
}

// run parses the arguments, runs the subcommand and returns the exit code: 0
// for success, 1 for a failure of the subcommand, 2 for wrong usage.
func run(args []string, std *streams) int {
	var c cli
	code := -1
	log := slog.New(slog.NewTextHandler(std.err, nil))
	p, err := kong.New(&c, kong.Name("standin"), kong.Description(usage),
		kong.Writers(std.out, std.err), kong.Exit(func(n int) { code = n }),
		kong.UsageOnError(), kong.Bind(std, log))
	if err != nil {
		panic("command line: " + err.Error())
	}
	ctx, err := p.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(std.err, "standin: %v\n", err)
		return 2
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(std.err, "standin: %v\n", err)
		return 1
	}
	return 0
}
