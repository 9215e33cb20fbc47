// Command standin simulates the environment of the system in tests: the platform's
// object store and list of VMs, backend servers, and callers.
package main

import (
	"io"
	"log/slog"
	"os"

	"sassafrastray/internal/operator/command"
)

type (
	// cli is the command line; each subcommand is in a file of its own.
	cli struct {
		Store    storeCmd    `cmd:"" help:"Serve an object store and a list of VMs."`
		Backend  backendCmd  `cmd:"" help:"Serve backend servers."`
		Registry registryCmd `cmd:"" help:"Serve the metadata store of the platform."`
		Load     loadCmd     `cmd:"" help:"Send requests as callers do, and report the results."`
		Report   reportCmd   `cmd:"" help:"Show the spread of several runs of a case."`
	}

	// streams are the standard streams, so that tests can replace them.
	streams struct {
		out, err io.Writer
	}
)

const usage = "Simulates the platform, backend servers and callers."

func main() {
	os.Exit(run(os.Args[1:], &streams{os.Stdout, os.Stderr}))
}

// run runs the program and returns its exit code.
func run(args []string, std *streams) int {
	log := slog.New(slog.NewTextHandler(std.err, nil))
	p := command.Program{Name: "standin", Usage: usage, Out: std.out, Err: std.err}
	return p.Run(&cli{}, args, std, log)
}
