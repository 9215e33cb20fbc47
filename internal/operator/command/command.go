// Package command runs a program's command line.
package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of the programs.
const (
	Success = 0
	Failure = 1 // the subcommand failed
	Misuse  = 2 // the arguments were wrong
)

// Line is a program's command line. Out and Err are its standard streams.
type Line struct {
	Name, Usage string
	Out, Err    io.Writer
}

// Run parses the arguments into grammar, a pointer to a struct for kong, runs
// the subcommand with the values that it asks for, and returns the exit code.
func (l Line) Run(grammar any, args []string, values ...any) int {
	code := -1
	p, err := kong.New(grammar, kong.Name(l.Name), kong.Description(l.Usage),
		kong.Writers(l.Out, l.Err), kong.Exit(func(n int) { code = n }),
		kong.UsageOnError(), kong.Bind(values...))
	if err != nil {
		panic("command line: " + err.Error())
	}
	ctx, err := p.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(l.Err, "%s: %v\n", l.Name, err)
		return Misuse
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(l.Err, "%s: %v\n", l.Name, err)
		return Failure
	}
	return Success
}
