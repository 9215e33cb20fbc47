package apikey

import (
	"crypto/sha256"
	"encoding/hex"

	"sassafrastray"
)

// TeamByDigest returns the team that the key with the digest belongs to.
func (t *Table) TeamByDigest(d sassafrastray.KeyDigest) (sassafrastray.TeamName, bool) {
	var sum [sha256.Size]byte
	if n, err := hex.Decode(sum[:], []byte(d)); err != nil || n != len(sum) {
		return "", false
	}
	team, ok := t.teams[sum]
	return team, ok
}
