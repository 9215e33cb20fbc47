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
	"sassafrastray/internal/standin/execlog"
	"sassafrastray/internal/standin/pattern"
	"sassafrastray/internal/traffic/upload"
)

const (
	echoPath = "/echo"
	// maxEchoBytes bounds the request content that a response to echoPath repeats.
	maxEchoBytes = 1 << 20
	// keyPrefix begins each caller's key in tests.
	keyPrefix = "sk_"
)

type (
	// body describes the received body of a request: its size, its hash and,
	// on echoPath, its content.
	body struct {
		Bytes int64  `json:"bytes"`
		SHA   string `json:"sha256"`
		Echo  []byte `json:"echo,omitempty"`
	}

	// jsonResponse is the JSON body of a response, which describes the request and
	// the server.
	jsonResponse struct {
		ID      string                    `json:"id"`
		Order   string                    `json:"order"`
		Server  sassafrastray.BackendName `json:"server"`
		Version sassafrastray.VersionName `json:"version"`
		Path    string                    `json:"path"`
		body
	}

	// stream is a response body that finishes its execution when it is closed.
	stream struct {
		io.Reader
		x   *execution
		end execlog.EndState
	}
)

// readBody reads and hashes the request's body. It keeps the content in memory only
// for echoPath.
func readBody(ctx *fasthttp.RequestCtx) (body, error) {
	var echo bytes.Buffer
	hash := sha256.New()
	w := io.Writer(hash)
	if string(ctx.Path()) == echoPath {
		w = io.MultiWriter(hash, &echoBuffer{&echo})
	}
	n, err := int64(0), error(nil)
	if ctx.Request.IsBodyStream() {
		n, err = io.Copy(w, upload.New(&ctx.Request))
	} else {
		var m int
		m, err = w.Write(ctx.Request.Body())
		n = int64(m)
	}
	return body{n, hex.EncodeToString(hash.Sum(nil)), echo.Bytes()}, errors.Wrap(err, "read body")
}

// echoBuffer discards what is written beyond maxEchoBytes.
type echoBuffer struct{ *bytes.Buffer }

func (b *echoBuffer) Write(p []byte) (int, error) {
	b.Buffer.Write(p[:min(len(p), maxEchoBytes-b.Len())])
	return len(p), nil
}

// downloadSize returns how many bytes of the test pattern the request asks for with
// the query parameter n, which a GET of any path may have.
func downloadSize(ctx *fasthttp.RequestCtx) (int64, bool) {
	if !ctx.IsGet() {
		return 0, false
	}
	n, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("n")), 10, 64)
	return n, err == nil && n >= 0
}

// responseBody returns the response body and its size in bytes: the test pattern for
// a download, else a JSON description of the request.
func (x *execution) responseBody(ctx *fasthttp.RequestCtx, b body) (io.Reader, int64) {
	if n, ok := downloadSize(ctx); ok {
		return pattern.New(n), n
	}
	e := x.entry
	r := jsonResponse{ID: e.RequestID, Order: e.OrderID, Server: e.Server, Version: e.Version, Path: e.Path, body: b}
	if x.work.WrongResponse {
		r = x.host.swapResponse(r)
		ctx.Response.Header.Set(x.host.fleet.dialect.ID, r.ID)
		ctx.Response.Header.Set(headerOrder, r.Order)
	}
	text, err := json.Marshal(r)
	if err != nil {
		panic("backend: encode response: " + err.Error())
	}
	ctx.SetContentType("application/json")
	return bytes.NewReader(text), int64(len(text))
}

// Close records the end of the execution.
func (s *stream) Close() error {
	s.x.finish(s.end)
	return nil
}

// entry returns the log entry of a request, without its server and start.
func (f *Fleet) entry(ctx *fasthttp.RequestCtx) execlog.Entry {
	h := &ctx.Request.Header
	return execlog.Entry{
		RequestID: string(h.Peek(f.dialect.ID)),
		OrderID:   string(h.Peek(headerOrder)),
		Team:      sassafrastray.TeamName(h.Peek(f.dialect.Team)),
		Method:    string(ctx.Method()),
		Path:      string(ctx.Path()),
		HasKey:    hasKey(h),
	}
}

// hasKey reports whether the request URI or the header contains a key, also in
// URL-escaped form or in basic credentials.
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
		panic("backend: encode response: " + err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
