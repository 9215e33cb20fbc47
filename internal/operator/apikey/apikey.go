// Package apikey creates API keys of teams, computes their digests, finds the team
// of a key, and removes keys from requests.
package apikey

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"sassafrastray"
)

// Prefix is the beginning of every new key, by which people and secret scanners
// recognize a leaked one.
const Prefix = "sk_"

// MinLen is the length of the shortest string that may be a key, in bytes.
const MinLen = 16

const (
	randomBytes = 32
	digestLen   = 2 * sha256.Size
)

// Table maps the digests of keys to teams. It is immutable.
//
// The look-up need not take constant time: it compares digests, so its timing can
// reveal something about the digest of a guess only, which does not help to find
// a key.
type Table struct {
	teams map[[sha256.Size]byte]sassafrastray.TeamName
}

// New returns a random key.
func New() string {
	b := make([]byte, randomBytes)
	// Read never returns an error: it ends the process instead.
	_, _ = rand.Read(b)
	return Prefix + base64.RawURLEncoding.EncodeToString(b)
}

// Digest returns the digest of a key as it is published.
func Digest(key string) sassafrastray.KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return sassafrastray.KeyDigest(hex.EncodeToString(sum[:]))
}

// ValidDigest reports whether d has the form of a digest.
func ValidDigest(d sassafrastray.KeyDigest) bool {
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
