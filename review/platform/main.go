package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(w *world, trouble bool) bool{
	"descriptors": usedUpDescriptors,
	"refused":     ranThenFailed,
	"reload":      reloadWhileStopping,
	"trailers":    forgedTrailers,
	"truncated":   truncatedUploads,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	w.end(cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0"))
}
