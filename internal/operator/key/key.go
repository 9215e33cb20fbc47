// Package key makes teams' keys, turns them into digests and teams, and
// removes them from requests.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"sassafrastray"
)

// Prefix starts every key, so that people and scanners of leaked secrets
// recognize one.
const Prefix = "sk_"

// MinLen is the length of the shortest string that may be a key, in bytes.
const MinLen = 16

const (
	randomBytes = 32
	digestLen   = 2 * sha256.Size
)

// Table finds the team of a key. It is immutable.
//
// The look-up compares digests, not keys: how long it takes tells at most
// something about the digest of a guess, from which nobody can work towards
// a key. So a map serves, and no comparison has to take constant time.
type Table struct {
	teams map[[sha256.Size]byte]sassafrastray.TeamName
}

// New returns a key from the system's random source.
func New() string {
	b := make([]byte, randomBytes)
	// The reader never fails: the runtime stops the process first.
	_, _ = rand.Read(b)
	return Prefix + base64.RawURLEncoding.EncodeToString(b)
}

// Digest returns the digest of a key as it is published.
func Digest(key string) sassafrastray.KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return sassafrastray.KeyDigest(hex.EncodeToString(sum[:]))
}

// Valid tells whether d has the form of a digest.
func Valid(d sassafrastray.KeyDigest) bool {
	if len(d) != digestLen {
		return false
	}
	for _, c := range []byte(d) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// NewTable returns the table of all keys in force in the configuration.
func NewTable(c *sassafrastray.Config) *Table {
	t := &Table{teams: map[[sha256.Size]byte]sassafrastray.TeamName{}}
	for _, team := range c.Fleet.Teams {
		for _, d := range team.Keys {
			var sum [sha256.Size]byte
			if n, err := hex.Decode(sum[:], []byte(d)); err != nil || n != len(sum) {
				continue
			}
			t.teams[sum] = team.Name
		}
	}
	return t
}

// Team returns the team that the key belongs to. It allocates nothing.
func (t *Table) Team(key []byte) (sassafrastray.TeamName, bool) {
	if len(key) < MinLen {
		return "", false
	}
	team, ok := t.teams[sha256.Sum256(key)]
	return team, ok
}

// Len returns the number of keys in force.
func (t *Table) Len() int { return len(t.teams) }
