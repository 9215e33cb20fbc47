// Package head reads the heads of HTTP responses. It parses them with fasthttp and refuses
// what that parser accepts and HTTP does not: the status 000, control bytes in the reason,
// blanks in the names of fields, folded lines, and lines that end without a carriage return.
// Such bytes come from a server in trouble, and another reader would see other fields or
// another body in them.
package head

import (
	"bufio"
	"bytes"
	"iter"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxInterim is the number of interim responses that are skipped before a response.
const maxInterim = 100

// tokenBytes has the bytes of which a name consists (RFC 9110, section 5.6.2).
var tokenBytes = func() (t [256]bool) {
	const punctuation = "!#$%&'*+-.^_`|~"
	for c := range t {
		b := byte(c)
		t[c] = isDigit(b) || 'a' <= b|0x20 && b|0x20 <= 'z' || bytes.IndexByte([]byte(punctuation), b) >= 0
	}
	return t
}()

// Read reads the head of the next response that is not an interim one.
func Read(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for range maxInterim + 1 {
		if err := checkHead(r); err != nil {
			return err
		}
		if err := h.Read(r); err != nil {
			return err
		}
		if status := h.StatusCode(); status >= 200 || status == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return errors.New("too many interim responses")
}

// HasBody reports whether a response with the status has a body. The Content-Length of one
// without is not the length of what follows.
func HasBody(status int) bool {
	return status >= 200 && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// checkHead checks the lines of the next head without consuming them. An error of the
// connection, and a head larger than the buffer, are left to the parser.
func checkHead(r *bufio.Reader) error {
	started := false
	for line, err := range peekLines(r) {
		switch {
		case err != nil:
			return err
		case !started:
			// The parser skips empty lines before a head.
			if started = len(line) > 0; started {
				err = checkStatusLine(line)
			}
		case len(line) == 0:
			return nil
		default:
			err = checkField(line)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// peekLines returns the lines that follow, each as soon as it has arrived, without consuming
// them and without their ends. It stops after an error, and where no line follows.
func peekLines(r *bufio.Reader) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		for at, n := 0, 1; ; n = r.Buffered() + 1 {
			if _, err := r.Peek(n); err != nil {
				return
			}
			b, err := r.Peek(r.Buffered())
			if err != nil {
				return
			}
			for {
				size := bytes.IndexByte(b[at:], '\n') + 1
				if size == 0 {
					break
				}
				line, ok := bytes.CutSuffix(b[at:at+size], []byte("\r\n"))
				if !ok {
					yield(nil, errors.Newf("line ends without CRLF: %.40q", b[at:at+size]))
					return
				}
				if !yield(line, nil) {
					return
				}
				at += size
			}
		}
	}
}

// checkStatusLine returns an error unless the line has a version of HTTP/1, a status from
// 100 to 599 and a reason without control bytes. What else is wrong with the line is left to
// the parser.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	switch {
	case !bytes.HasPrefix(version, []byte("HTTP/1.")):
		return errors.Newf("invalid version %.20q", version)
	case len(status) != 3 || status[0] < '1' || status[0] > '5' || !isDigit(status[1]) || !isDigit(status[2]):
		return errors.Newf("invalid status %.20q", status)
	case bytes.ContainsFunc(reason, isControl):
		return errors.Newf("invalid reason %.40q", reason)
	}
	return nil
}

// checkField returns an error unless the line begins with the name of a field and a colon.
// The value is left to the parser.
func checkField(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return errors.Newf("line without a name: %.40q", line)
	}
	for _, c := range name {
		if !tokenBytes[c] {
			return errors.Newf("invalid field name %.40q", name)
		}
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isControl reports whether the rune is a control byte other than a tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
