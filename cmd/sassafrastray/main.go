// Command sassafrastray steers traffic between callers and backend servers.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

type (
	// cli is the command line; each subcommand is in a file of its own.
	cli struct {
		Check   checkCmd   `cmd:"" help:"Check operators' files."`
		Serve   serveCmd   `cmd:"" help:"Run one entry VM."`
		Status  statusCmd  `cmd:"" help:"Show the fleet as one VM sees it."`
		Publish publishCmd `cmd:"" help:"Publish operators' files."`
		Key     keyCmd     `cmd:"" help:"Make teams' keys."`
		Lookup  lookupCmd  `cmd:"" help:"Show what a caller is told to use."`
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

// run parses the arguments, runs the subcommand and returns the exit code: 0
// for success, 1 for a failure of the subcommand, 2 for wrong usage.
func run(args []string, std *streams) int {
	var c cli
	code := -1
	p, err := kong.New(&c, kong.Name("sassafrastray"), kong.Description(usage),
		kong.Writers(std.out, std.err), kong.Exit(func(n int) { code = n }),
		kong.UsageOnError(), kong.Bind(std))
	if err != nil {
		panic("command line: " + err.Error())
	}
	ctx, err := p.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(std.err, "sassafrastray: %v\n", err)
		return 2
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(std.err, "sassafrastray: %v\n", err)
		return 1
	}
	return 0
}

func (versionCmd) Run(std *streams) error {
	fmt.Fprintln(std.out, version)
	return nil
}
