// Package trace tells the story of one request from the log lines of VMs: what
// was decided about it, and what its VM believed at that time.
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

// longest bounds a line in bytes; a longer one is an error.
const longest = 1 << 20

type (
	// Line is one log line.
	Line struct {
		VM string
		// Run tells the runs of a VM apart, and Number the lines of a run;
		// both are zero in lines that do not have them.
		Run    int64
		Number int64
		// Time is the VM's wall clock, which may jump.
		Time    time.Time
		Message string
		Fields  map[string]any
		// place is the line's place in what was read.
		place int
	}

	// Log is what was read.
	Log struct {
		Lines []Line
		// Skipped counts lines that are no JSON objects, Missing those that
		// the VMs say they left out or lost.
		Skipped, Missing int
	}
)

// Read adds the lines of r, each a JSON object, perhaps behind a prefix that a
// collector added.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, longest)
	for s.Scan() {
		text := s.Bytes()
		i := bytes.IndexByte(text, '{')
		var fields map[string]any
		if i < 0 || json.Unmarshal(text[i:], &fields) != nil {
			l.Skipped++
			continue
		}
		line := Line{Fields: fields, place: len(l.Lines)}
		line.VM, line.Message = line.text("vm"), line.text("msg")
		line.Run, line.Number = line.number("run"), line.number("line")
		// A line without a readable time is ordered by its number.
		line.Time, _ = time.Parse(time.RFC3339Nano, line.text("time"))
		l.Missing += line.missing()
		l.Lines = append(l.Lines, line)
	}
	return errors.Wrap(s.Err(), "read log")
}

// missing returns how many lines this one says were not written.
func (l *Line) missing() int {
	switch l.Message {
	case message.LeftOut, message.Lost:
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

// names tells whether a list of the line has the name.
func (l *Line) names(key, name string) bool {
	list, _ := l.Fields[key].([]any)
	for _, v := range list {
		if v == name {
			return true
		}
	}
	return false
}

// sameRun tells whether both lines are from one run of one VM.
func (l *Line) sameRun(o *Line) bool { return l.VM == o.VM && l.Run == o.Run }

// before tells whether the line was written before another of the same run.
func (l *Line) before(o *Line) bool {
	if l.Number != o.Number {
		return l.Number < o.Number
	}
	return l.place < o.place
}
