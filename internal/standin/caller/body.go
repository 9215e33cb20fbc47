package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"sassafrastray/internal/standin/pattern"
	"sassafrastray/internal/standin/scenario"
)

// maxResponseBytes bounds the size of a JSON response.
const maxResponseBytes = 64 << 10

// jsonResponse holds the fields of a backend server's JSON response that describe
// the request it executed.
type jsonResponse struct {
	Order string `json:"order"`
	Bytes int64  `json:"bytes"`
	SHA   string `json:"sha256"`
}

var (
	// errWrongResponse marks complete responses with the wrong content.
	errWrongResponse = errors.New("wrong response")

	// digests caches the hex SHA-256 digests of uploads by size.
	digests sync.Map
)

// uploadBody returns the body of an upload of size bytes.
func uploadBody(size int64) io.Reader { return pattern.New(size) }

// query returns the query string that sets the size of the response body.
func query(k *scenario.Kind) string {
	if k.Download == 0 {
		return ""
	}
	return "?n=" + strconv.FormatInt(k.Download, 10)
}

// checkBody reads the body of a successful response, compares it with what the
// request asked for, and returns its size in bytes.
func checkBody(body io.Reader, k *scenario.Kind, order string) (int64, error) {
	if k.Download > 0 {
		var c pattern.Checker
		n, err := io.Copy(&c, body)
		if err == nil && n != k.Download {
			err = errors.Wrapf(errWrongResponse, "got %d bytes, want %d", n, k.Download)
		}
		return n, err
	}
	b, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return int64(len(b)), errors.Wrap(err, "read response")
	}
	var r jsonResponse
	if err := json.Unmarshal(b, &r); err != nil {
		return int64(len(b)), errors.Mark(errors.Wrap(err, "decode response"), errWrongResponse)
	}
	switch {
	case r.Order != order:
		err = errors.Wrapf(errWrongResponse, "answer to %q", r.Order)
	case r.Bytes != k.Size:
		err = errors.Wrapf(errWrongResponse, "server received %d bytes, want %d", r.Bytes, k.Size)
	case r.SHA != digest(k.Size):
		err = errors.Wrap(errWrongResponse, "server received a body with another digest")
	}
	return int64(len(b)), err
}

// digest returns the hex SHA-256 digest of an upload of size bytes.
func digest(size int64) string {
	if d, ok := digests.Load(size); ok {
		return d.(string)
	}
	h := sha256.New()
	if _, err := io.Copy(h, uploadBody(size)); err != nil {
		panic("caller: digest of an upload cannot be computed")
	}
	d := hex.EncodeToString(h.Sum(nil))
	digests.Store(size, d)
	return d
}
