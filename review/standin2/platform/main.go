// Command standin2 has the stand-ins of the review's scripts: the platform's metadata
// store, a backend server, and the driver that starts them with the system's own VMs,
// sends requests and checks a rule.
//
// It uses the standard library alone and addresses of the loopback range.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin2 store|upstream|cold|drain|silence ...")
		os.Exit(2)
	}
	args := os.Args[2:]
	switch os.Args[1] {
	case "store":
		runStore(args)
	case "upstream":
		runUpstream(args)
	case "cold":
		os.Exit(runCold(args))
	case "drain":
		os.Exit(runDrain(args))
	case "silence":
		os.Exit(runSilence(args))
	default:
		fmt.Fprintln(os.Stderr, "unknown command", os.Args[1])
		os.Exit(2)
	}
}

// must ends the process with the status of a case that could not run.
func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	}
}
