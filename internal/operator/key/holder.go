package key

import (
	"crypto/sha256"
	"encoding/hex"

	"sassafrastray"
)

// Holder returns the team that the key with the digest belongs to.
func (t *Table) Holder(d sassafrastray.KeyDigest) (sassafrastray.TeamName, bool) {
	var sum [sha256.Size]byte
	if n, err := hex.Decode(sum[:], []byte(d)); err != nil || n != len(sum) {
		return "", false
	}
	team, ok := t.teams[sum]
	return team, ok
}
