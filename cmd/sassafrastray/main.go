// Command sassafrastray steers traffic between callers and backend servers.
package main

import (
	"fmt"
	"io"
	"os"

	"sassafrastray/internal/operator/command"
)

type (
	// cli is the command line; each subcommand is in a file of its own.
	cli struct {
		Explain explainCmd `cmd:"" help:"Explain a request from log lines."`
		Check   checkCmd   `cmd:"" help:"Check operators' files."`
		Serve   serveCmd   `cmd:"" help:"Run one entry VM."`
		Steer   steerCmd   `cmd:"" help:"Run one entry VM on the platform."`
		Status  statusCmd  `cmd:"" help:"Show the fleet as one VM sees it."`
		Publish publishCmd `cmd:"" help:"Publish operators' files."`
		Key     keyCmd     `cmd:"" help:"Create teams' keys."`
		Lookup  lookupCmd  `cmd:"" help:"Show what a caller is told to use."`
		Where   whereCmd   `cmd:"" help:"Show where a request would go now, and why."`
		Version versionCmd `cmd:"" help:"Print the program's version."`
	}

	// streams are the standard streams, so that tests can replace them.
	streams struct {
		in       io.Reader
		out, err io.Writer
	}

	versionCmd struct{}
)

const (
	version = "0.1.0"
	usage   = "Steers traffic from callers to backend servers."
)

func main() {
	os.Exit(run(os.Args[1:], &streams{os.Stdin, os.Stdout, os.Stderr}))
}

// run runs the program and returns its exit code.
func run(args []string, std *streams) int {
	p := command.Program{Name: "sassafrastray", Usage: usage, Out: std.out, Err: std.err}
	return p.Run(&cli{}, args, std)
}

func (versionCmd) Run(std *streams) error {
	fmt.Fprintln(std.out, version)
	return nil
}
