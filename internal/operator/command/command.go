// Package command parses a program's command line and runs its subcommand.
package command

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of the programs.
const (
	Success    = 0
	Failure    = 1 // the subcommand failed
	UsageError = 2 // the arguments were wrong
)

// Program describes a program with subcommands. Out and Err are its standard
// streams.
type Program struct {
	Name, Usage string
	Out, Err    io.Writer
}

// Run parses the arguments into grammar, a pointer to a struct with kong's tags,
// runs the subcommand and returns the exit code. The parameters of the subcommand's
// Run method are taken from values by their types. Run panics if kong rejects the
// grammar.
func (p Program) Run(grammar any, args []string, values ...any) int {
	code := -1
	parser, err := kong.New(grammar, kong.Name(p.Name), kong.Description(p.Usage),
		kong.Writers(p.Out, p.Err), kong.Exit(func(n int) { code = n }),
		kong.UsageOnError(), kong.Bind(values...))
	if err != nil {
		panic("command line: " + err.Error())
	}
	ctx, err := parser.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(p.Err, "%s: %v\n", p.Name, err)
		return UsageError
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(p.Err, "%s: %v\n", p.Name, err)
		return Failure
	}
	return Success
}
