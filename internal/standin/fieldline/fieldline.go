// Package fieldline has lines of heads, as servers in trouble send them and as
// valid responses have them, for the tests of all that reads responses.
package fieldline

import (
	_ "embed"
	"fmt"
	"strconv"
	"strings"
)

//go:embed lines.txt
var text string

// Broken returns lines which make a response malformed.
func Broken() []string { return lines("broken") }

// Whole returns lines which a valid response may have.
func Whole() []string { return lines("whole") }

func lines(verdict string) []string {
	var found []string
	for l := range strings.Lines(text) {
		quoted, ok := strings.CutPrefix(strings.TrimSpace(l), verdict+" ")
		if !ok {
			continue
		}
		line, err := strconv.Unquote(quoted)
		if err != nil {
			panic(fmt.Sprintf("%s: %v", quoted, err))
		}
		found = append(found, line)
	}
	return found
}
