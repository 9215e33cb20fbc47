package upstream

import (
	"bufio"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"sassafrastray/internal/traffic/head"
)

// readHead reads the head of the next response that is not an interim one, and makes its
// body a stream.
func readHead(r *bufio.Reader, resp *fasthttp.Response) error {
	if err := head.Read(r, &resp.Header); err != nil {
		return err
	}
	if resp.SkipBody || !head.HasBody(resp.StatusCode()) {
		return nil
	}
	return resp.ReadBody(r, 0)
}

// keepAliveTimeout returns how long the other side keeps an idle connection open
// according to its Keep-Alive header, or zero if it does not say.
func keepAliveTimeout(resp *fasthttp.Response) time.Duration {
	for part := range strings.SplitSeq(string(resp.Header.Peek("Keep-Alive")), ",") {
		if n, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(n); err == nil && s > 0 {
				return time.Duration(s) * time.Second
			}
		}
	}
	return 0
}
