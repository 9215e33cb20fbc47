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

// maxAnswer bounds a description of a request in bytes.
const maxAnswer = 64 << 10

// answer is a backend server's description of the request that it executed.
type answer struct {
	Order string `json:"order"`
	Bytes int64  `json:"bytes"`
	SHA   string `json:"sha256"`
}

var (
	// errWrong marks answers that look whole and are not the right ones.
	errWrong = errors.New("wrong answer")

	// digests are the digests of uploads by size.
	digests sync.Map
)

// upload returns the body of an upload.
func upload(size int64) io.Reader { return pattern.New(size) }

// query asks for the download that the kind wants.
func query(k *scenario.Kind) string {
	if k.Download == 0 {
		return ""
	}
	return "?n=" + strconv.FormatInt(k.Download, 10)
}

// check reads the body of a good answer and compares it with what the request
// asked for.
func check(body io.Reader, k *scenario.Kind, order string) (int64, error) {
	if k.Download > 0 {
		var c pattern.Checker
		n, err := io.Copy(&c, body)
		if err == nil && n != k.Download {
			err = errors.Wrapf(errWrong, "%d bytes in place of %d", n, k.Download)
		}
		return n, err
	}
	b, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		return int64(len(b)), errors.Wrap(err, "read answer")
	}
	var a answer
	if err := json.Unmarshal(b, &a); err != nil {
		return int64(len(b)), errors.Mark(errors.Wrap(err, "decode answer"), errWrong)
	}
	switch {
	case a.Order != order:
		err = errors.Wrapf(errWrong, "answer to %q", a.Order)
	case a.Bytes != k.Size:
		err = errors.Wrapf(errWrong, "body of %d bytes in place of %d arrived", a.Bytes, k.Size)
	case a.SHA != digest(k.Size):
		err = errors.Wrap(errWrong, "another body arrived")
	}
	return int64(len(b)), err
}

// digest returns the digest of an upload of the size.
func digest(size int64) string {
	if d, ok := digests.Load(size); ok {
		return d.(string)
	}
	h := sha256.New()
	if _, err := io.Copy(h, upload(size)); err != nil {
		panic("caller: the pattern cannot be read")
	}
	d := hex.EncodeToString(h.Sum(nil))
	digests.Store(size, d)
	return d
}
