package publish

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/operator/config"
)

// writeChunks writes the chunks that are not in before, which are those of the
// previous head.
//
// It writes a chunk even if the store has it already: the chunk may be retired and
// about to be deleted under its current version, and a new version makes that
// deletion fail.
func (p *Publisher) writeChunks(ctx context.Context, before []config.Digest, chunks map[config.Digest][]byte) error {
	for _, d := range slices.Sorted(maps.Keys(chunks)) {
		if slices.Contains(before, d) {
			continue
		}
		if err := p.writeChunk(ctx, d, chunks[d]); err != nil {
			return err
		}
	}
	return nil
}

func (p *Publisher) writeChunk(ctx context.Context, d config.Digest, value []byte) error {
	version := int64(0)
	for try := 0; ; try++ {
		_, err := p.store.Put(ctx, d.Key(), value, version)
		if err == nil {
			return nil
		}
		if errors.Is(err, sassafrastray.ErrConflict) {
			o, err := p.get(ctx, d.Key())
			if err != nil && !errors.Is(err, sassafrastray.ErrNotFound) {
				return errors.Wrapf(err, "chunk %s", d)
			}
			// The version is 0 if the chunk does not exist.
			version = o.Version
			continue
		}
		if p.backoff(ctx, try) != nil {
			return errors.Wrapf(err, "chunk %s", d)
		}
	}
}

// retiredChunks returns the chunks that wait for deletion once h is in force: all in
// the store that h does not refer to, with their current versions. These make the
// deletion safe: a publisher that needs one of the chunks and has read h or a later
// head writes it again under a greater version, and one that has read an earlier head
// fails with a conflict when it writes its own.
func (p *Publisher) retiredChunks(ctx context.Context, before, h config.Head) ([]config.RetiredChunk, error) {
	stored, err := p.list(ctx, config.ChunkPrefix)
	if err != nil {
		return nil, err
	}
	waiting := map[config.Digest]config.RetiredChunk{}
	for _, r := range before.Retired {
		waiting[r.Chunk] = r
	}
	var out []config.RetiredChunk
	for _, o := range stored {
		d := config.Digest(strings.TrimPrefix(o.Key, config.ChunkPrefix))
		if slices.Contains(h.Chunks, d) {
			continue
		}
		r, ok := waiting[d]
		if !ok || r.Version != o.Version {
			r = config.RetiredChunk{Chunk: d, Number: h.Number, Version: o.Version}
		}
		out = append(out, r)
	}
	return out, nil
}

// deleteRetired deletes the chunks that none of the latest heads refers to. It ignores
// failures: such a chunk stays listed as retired, and the next publish tries again.
func (p *Publisher) deleteRetired(ctx context.Context, h config.Head) {
	for _, r := range h.Retired {
		if h.Number-r.Number >= p.retainedHeads {
			_ = p.store.Delete(ctx, r.Chunk.Key(), r.Version)
		}
	}
}
