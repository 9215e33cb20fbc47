// Package trace reconstructs from the log lines of VMs what was decided about one
// request, and which state of the system its VM assumed at that time.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/operator/message"
)

// maxLineLen bounds a line, in bytes; a longer one is an error.
const maxLineLen = 1 << 20

type (
	// Line is one log line.
	Line struct {
		VM string
		// Run identifies a run of the VM's process, and Number a line of that
		// run; both are zero in lines that do not have them.
		Run    int64
		Number int64
		// Time is the VM's wall clock, which may jump.
		Time    time.Time
		Message string
		Fields  map[string]any
		// index is the line's position in the input.
		index int
	}

	// Log holds the lines that were read.
	Log struct {
		Lines []Line
		// Skipped counts lines that are not JSON objects. Missing counts lines
		// that the VMs report as left out or lost.
		Skipped, Missing int
	}
)

// Read adds the lines of r. Each is a JSON object, which may follow a prefix that a
// log collector added.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineLen)
	for s.Scan() {
		text := s.Bytes()
		i := bytes.IndexByte(text, '{')
		var fields map[string]any
		if i < 0 || json.Unmarshal(text[i:], &fields) != nil {
			l.Skipped++
			continue
		}
		line := Line{Fields: fields, index: len(l.Lines)}
		line.VM, line.Message = line.text("vm"), line.text("msg")
		line.Run, line.Number = line.number("run"), line.number("line")
		// A line without a readable time is ordered by its number.
		line.Time, _ = time.Parse(time.RFC3339Nano, line.text("time"))
		l.Missing += line.missing()
		l.Lines = append(l.Lines, line)
	}
	return errors.Wrap(s.Err(), "read log")
}

// missing returns how many lines this one reports as not written.
func (l *Line) missing() int {
	switch l.Message {
	case message.LinesLeftOut, message.LinesLost:
		return int(l.number("count"))
	}
	return 0
}

func (l *Line) text(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

func (l *Line) number(key string) int64 {
	f, _ := l.Fields[key].(float64)
	return int64(f)
}

func (l *Line) duration(key string) time.Duration { return time.Duration(l.number(key)) }

// listContains reports whether the list in a field of the line has the name.
func (l *Line) listContains(key, name string) bool {
	list, _ := l.Fields[key].([]any)
	for _, v := range list {
		if v == name {
			return true
		}
	}
	return false
}

// sameRun reports whether both lines are from one run of one VM.
func (l *Line) sameRun(o *Line) bool { return l.VM == o.VM && l.Run == o.Run }

// before reports whether the line was written before another of the same run.
func (l *Line) before(o *Line) bool {
	if l.Number != o.Number {
		return l.Number < o.Number
	}
	return l.index < o.index
}
