package backend

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sassafrastray"
	"sassafrastray/internal/standin/ledger"
	"sassafrastray/internal/standin/pattern"
)

const (
	echoPath = "/echo"
	// maxEcho bounds the body that is sent back, in bytes.
	maxEcho = 1 << 20
	// keyPrefix begins each caller's key in tests.
	keyPrefix = "sk_"
)

type (
	// body is what a request's body amounts to.
	body struct {
		Bytes int64  `json:"bytes"`
		SHA   string `json:"sha256"`
		Echo  []byte `json:"echo,omitempty"`
	}

	// answer is the JSON body of an answer.
	answer struct {
		ID      string                    `json:"id"`
		Order   string                    `json:"order"`
		Server  sassafrastray.BackendName `json:"server"`
		Version sassafrastray.VersionName `json:"version"`
		Path    string                    `json:"path"`
		body
	}

	// stream is an answer's body that ends its execution when it is closed.
	stream struct {
		io.Reader
		x   *execution
		end ledger.End
	}
)

// readBody reads the request's body without holding it, unless it is to be
// sent back.
func readBody(ctx *fasthttp.RequestCtx) (body, error) {
	var echo bytes.Buffer
	hash := sha256.New()
	w := io.Writer(hash)
	if string(ctx.Path()) == echoPath {
		w = io.MultiWriter(hash, &limited{&echo})
	}
	n, err := int64(0), error(nil)
	if r := ctx.RequestBodyStream(); r != nil {
		n, err = io.Copy(w, r)
	} else {
		var m int
		m, err = w.Write(ctx.Request.Body())
		n = int64(m)
	}
	return body{n, hex.EncodeToString(hash.Sum(nil)), echo.Bytes()}, errors.Wrap(err, "read body")
}

// limited drops what is above the bound on echoes.
type limited struct{ *bytes.Buffer }

func (l *limited) Write(p []byte) (int, error) {
	l.Buffer.Write(p[:min(len(p), maxEcho-l.Len())])
	return len(p), nil
}

// download returns how many bytes of the pattern the request asks for, which a
// GET of any path may do.
func download(ctx *fasthttp.RequestCtx) (int64, bool) {
	if !ctx.IsGet() {
		return 0, false
	}
	n, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("n")), 10, 64)
	return n, err == nil && n >= 0
}

// body returns the answer's body and its size. A download is the pattern, all
// else is a description of the request.
func (x *execution) body(ctx *fasthttp.RequestCtx, b body) (io.Reader, int64) {
	if n, ok := download(ctx); ok {
		return pattern.New(n), n
	}
	e := x.entry
	a := answer{ID: e.ID, Order: e.Order, Server: e.Server, Version: e.Version, Path: e.Path, body: b}
	if x.work.WrongAnswer {
		a = x.host.swap(a)
		ctx.Response.Header.Set(x.host.fleet.dialect.ID, a.ID)
		ctx.Response.Header.Set(headerOrder, a.Order)
	}
	text, err := json.Marshal(a)
	if err != nil {
		panic("answer cannot be encoded: " + err.Error())
	}
	ctx.SetContentType("application/json")
	return bytes.NewReader(text), int64(len(text))
}

// Close ends the execution.
func (s *stream) Close() error {
	s.x.end(s.end)
	return nil
}

// entry describes a request.
func (f *Fleet) entry(ctx *fasthttp.RequestCtx) ledger.Entry {
	h := &ctx.Request.Header
	return ledger.Entry{
		ID:     string(h.Peek(f.dialect.ID)),
		Order:  string(h.Peek(headerOrder)),
		Team:   sassafrastray.TeamName(h.Peek(f.dialect.Team)),
		Method: string(ctx.Method()),
		Path:   string(ctx.Path()),
		Keys:   hasKey(h),
	}
}

// hasKey tells whether a key is anywhere in the header, also when it is
// escaped or within basic credentials.
func hasKey(h *fasthttp.RequestHeader) bool {
	head := string(h.RequestURI()) + "\n" + string(h.RawHeaders())
	if strings.Contains(head, keyPrefix) {
		return true
	}
	if plain, err := url.QueryUnescape(string(h.RequestURI())); err == nil && strings.Contains(plain, keyPrefix) {
		return true
	}
	_, basic, _ := strings.Cut(string(h.Peek(fasthttp.HeaderAuthorization)), " ")
	plain, err := base64.StdEncoding.DecodeString(basic)
	return err == nil && strings.Contains(string(plain), keyPrefix)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic("answer cannot be encoded: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
