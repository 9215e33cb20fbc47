// Package report encodes what VMs tell each other about the runs of requests that they
// saw at backend servers: the load that a server named, and the object that it now knows.
package report

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MaxRuns bounds the runs in one message.
	MaxRuns = 64

	// Size is the size in bytes of an encoded run.
	Size = 12

	// MaxCount is the greatest number of requests that is encoded. It also stands for
	// greater ones.
	MaxCount = 255

	// MaxPercent is the greatest percentage that is encoded. It also stands for greater
	// ones.
	MaxPercent = 255 * percentStep

	// MaxAge is the greatest age that is encoded. It also stands for greater ones.
	MaxAge = 255 * ageStep

	percentStep = 10
	ageStep     = 10 * time.Millisecond
)

// Run is a request that a backend server answered, and the load that it named.
type Run struct {
	// Server and Object are the low 32 bits of the hashes of the names. Object is zero
	// if the request has none.
	Server, Object uint32
	// Running and Waiting are the requests at the server, this one not included.
	Running, Waiting int
	// WorkPercent is how long work takes on the server's machine in percent of the usual
	// time, or zero if the server did not say.
	WorkPercent int
	// Age is how long ago the VM that saw the run received the answer.
	Age time.Duration
}

// Encode returns the first MaxRuns runs as they are sent, or nil if there are none.
func Encode(runs []Run) []byte {
	if len(runs) == 0 {
		return nil
	}
	runs = runs[:min(len(runs), MaxRuns)]
	b := make([]byte, 0, len(runs)*Size)
	for i := range runs {
		r := &runs[i]
		b = binary.LittleEndian.AppendUint32(b, r.Server)
		b = binary.LittleEndian.AppendUint32(b, r.Object)
		b = append(b, steps(r.Running, 1), steps(r.Waiting, 1), percent(r.WorkPercent), steps(r.Age, ageStep))
	}
	return b
}

// Decode returns the encoded runs. It fails if the message is longer than MaxRuns or is
// not a whole number of runs.
func Decode(b []byte) ([]Run, error) {
	if len(b) > MaxRuns*Size || len(b)%Size != 0 {
		return nil, errors.Newf("runs of %d bytes", len(b))
	}
	if len(b) == 0 {
		return nil, nil
	}
	runs := make([]Run, 0, len(b)/Size)
	for ; len(b) > 0; b = b[Size:] {
		runs = append(runs, Run{
			Server:      binary.LittleEndian.Uint32(b),
			Object:      binary.LittleEndian.Uint32(b[4:]),
			Running:     int(b[8]),
			Waiting:     int(b[9]),
			WorkPercent: int(b[10]) * percentStep,
			Age:         time.Duration(b[11]) * ageStep,
		})
	}
	return runs, nil
}

// percent returns the percentage in steps. A percentage that was reported is at least one
// step, since zero stands for none.
func percent(p int) byte {
	if p <= 0 {
		return 0
	}
	return max(1, steps(p, percentStep))
}

// steps returns n as the nearest number of steps that fits into a byte.
func steps[N int | time.Duration](n, step N) byte {
	n = min(max(n, 0), 255*step)
	return byte((n + step/2) / step)
}
