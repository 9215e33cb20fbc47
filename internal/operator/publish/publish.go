// Package publish writes configurations to the object store. Each configuration
// number is written by exactly one publish.
package publish

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sassafrastray"
	"sassafrastray/internal/operator/config"
)

// Outcomes of a publish.
const (
	// Published means that the configuration was written under its number.
	Published Outcome = "published"
	// Unchanged means that the store has the same content already.
	Unchanged Outcome = "unchanged"
	// Conflict means that another publish took the number first, and that this
	// one changed nothing.
	Conflict Outcome = "lost"
	// Refused means that the store did not accept the write in time, and that
	// this publish changed nothing.
	Refused Outcome = "refused"
	// Unknown means that a write of the head got no answer, and that it could
	// not be found out whether it took effect.
	Unknown Outcome = "unknown"
)

// Bounds of the delay between tries while the store is unavailable.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// ErrUnreadable means that the configuration in force can't be assembled, for example
// because a chunk is missing or damaged. Trying again does not help.
var ErrUnreadable = errors.New("the configuration in force is unreadable")

type (
	// Outcome is how a publish ended.
	Outcome string

	// Result describes how a publish ended. Number is the number that it
	// wrote, may have written if the outcome is unknown, or lost to the publish
	// WonBy in a conflict. WonBy is empty if that publish is not known. Err is
	// the reason for Refused and Unknown.
	Result struct {
		Outcome Outcome
		Number  int64
		Publish string
		WonBy   string
		Err     error
	}

	// Base is the head that a publish replaces. Config is nil if there is no
	// configuration yet, or if it can't be assembled.
	Base struct {
		Head    config.Head
		Version int64
		Config  *sassafrastray.Config
	}

	// Publisher publishes a configuration under one publish id.
	Publisher struct {
		store sassafrastray.Store
		sleep Sleep
		rand  *rand.Rand
		id    string
		// maxInlineSize is the size in bytes of the largest configuration that
		// is not split into chunks.
		maxInlineSize int
		// retainedHeads is the number of heads for which unused chunks stay.
		retainedHeads int64
	}

	// Sleep waits for d or until the context ends, whose error it returns.
	Sleep func(ctx context.Context, d time.Duration) error
)

// New returns a publisher with the given publish id.
func New(store sassafrastray.Store, sleep Sleep, r *rand.Rand, id string) *Publisher {
	return &Publisher{store: store, sleep: sleep, rand: r, id: id, maxInlineSize: config.MaxInlineSize, retainedHeads: config.RetainedHeads}
}

// ID returns a publish id made of the operator's name and a random number, so that it
// differs in each call.
func ID(operator string, r *rand.Rand) string {
	return fmt.Sprintf("%s/%016x", operator, r.Uint64())
}

// Base reads the head and the configuration in force. It tries again while the store
// is unavailable, until the context ends. If the configuration can't be assembled, it
// returns the head with ErrUnreadable; the head is still valid as a base.
func (p *Publisher) Base(ctx context.Context) (Base, error) {
	for {
		b, err := p.readHead(ctx)
		if err != nil || b.Version == 0 {
			return b, err
		}
		b.Config, err = config.Assemble(b.Head, func(d config.Digest) ([]byte, error) {
			o, err := p.get(ctx, d.Key())
			return o.Value, err
		})
		if err == nil || errors.Is(err, sassafrastray.ErrUnavailable) {
			return b, err
		}
		// The chunks of a head that is no longer in force may be deleted.
		now, readErr := p.readHead(ctx)
		if readErr != nil {
			return b, readErr
		}
		if now.Version == b.Version {
			return b, errors.Mark(err, ErrUnreadable)
		}
	}
}

// readHead reads the head without assembling its configuration.
func (p *Publisher) readHead(ctx context.Context) (Base, error) {
	o, err := p.get(ctx, config.HeadKey)
	if errors.Is(err, sassafrastray.ErrNotFound) {
		return Base{}, nil
	}
	if err != nil {
		return Base{}, err
	}
	h, err := config.ParseHead(o.Value)
	return Base{Head: h, Version: o.Version}, err
}

// Put publishes c as the successor of base. It sets the number and publish id of c.
// It returns an error only if the configuration is too large to be stored.
func (p *Publisher) Put(ctx context.Context, base Base, c *sassafrastray.Config) (Result, error) {
	if base.Config != nil && sameContent(base.Config, c) {
		return Result{Outcome: Unchanged, Number: base.Head.Number, Publish: base.Head.Publish}, nil
	}
	c.Number, c.PublishID = base.Head.Number+1, p.id
	h, chunks, err := config.Split(c, p.maxInlineSize)
	if err != nil {
		return Result{}, err
	}
	h.History, h.Moves = nextHistory(base.Head), nextMoves(base.Head, c)
	if err := p.writeChunks(ctx, base.intactChunks(), chunks); err != nil {
		return Result{Outcome: Refused, Publish: p.id, Err: err}, nil
	}
	if h.Retired, err = p.retiredChunks(ctx, base.Head, h); err != nil {
		return Result{Outcome: Refused, Publish: p.id, Err: err}, nil
	}
	if n := len(h.Encode()); n > sassafrastray.MaxObjectBytes {
		return Result{}, errors.Newf("the head takes %d bytes, above the store's limit of %d", n, sassafrastray.MaxObjectBytes)
	}
	result := p.putHead(ctx, base, h)
	if result.Outcome == Published {
		p.deleteRetired(ctx, h)
	}
	return result, nil
}

// sameContent reports whether two configurations are equal except for their number
// and publish id.
func sameContent(a, b *sassafrastray.Config) bool {
	c := *b
	c.Number, c.PublishID = a.Number, a.PublishID
	return config.Sum(a) == config.Sum(&c)
}

// intactChunks returns the chunks that were read from the store without error.
func (b Base) intactChunks() []config.Digest {
	if b.Config == nil {
		return nil
	}
	return b.Head.Chunks
}

// Previous returns the published state that a change on this base is checked against.
func (b Base) Previous() *config.Previous {
	return &config.Previous{Config: b.Config, Moves: b.Head.Moves}
}

// nextHistory returns the history of the head that follows h.
func nextHistory(h config.Head) []config.HistoryEntry {
	if h.Number == 0 {
		return nil
	}
	out := append([]config.HistoryEntry{{Number: h.Number, Publish: h.Publish}}, h.History...)
	return out[:min(len(out), config.MaxHistory)]
}

// nextMoves returns the moves of c and those that h lists, up to config.MaxMoves.
func nextMoves(h config.Head, c *sassafrastray.Config) []config.MoveID {
	out := config.Moves(c)
	for _, m := range h.Moves {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out[:min(len(out), config.MaxMoves)]
}

// putHead replaces the head of base by h. If a write gets no answer, a later conflict
// may be due to that write; the publish ids in the stored head then tell who wrote the
// number.
func (p *Publisher) putHead(ctx context.Context, base Base, h config.Head) Result {
	var (
		value        = h.Encode()
		maybeWritten bool
		lastErr      error
	)
	for try := 0; ; try++ {
		_, err := p.store.Put(ctx, config.HeadKey, value, base.Version)
		switch {
		case err == nil:
			return Result{Outcome: Published, Number: h.Number, Publish: p.id}
		case errors.Is(err, sassafrastray.ErrConflict):
			return p.resolveConflict(ctx, h, maybeWritten)
		case !errors.Is(err, sassafrastray.ErrUnavailable):
			// Unless the store rules it out, the write may have taken
			// effect. Trying again under the same version is safe.
			maybeWritten = true
		}
		lastErr = err
		if p.backoff(ctx, try) != nil {
			break
		}
	}
	if maybeWritten {
		return Result{Outcome: Unknown, Number: h.Number, Publish: p.id, Err: lastErr}
	}
	return Result{Outcome: Refused, Publish: p.id, Err: lastErr}
}

// resolveConflict finds out, after a conflict, which publish wrote the number of h. It
// can be this one only if an earlier write may have taken effect (maybeWritten).
func (p *Publisher) resolveConflict(ctx context.Context, h config.Head, maybeWritten bool) Result {
	now, err := p.readHead(ctx)
	if err != nil {
		if maybeWritten {
			return Result{Outcome: Unknown, Number: h.Number, Publish: p.id, Err: err}
		}
		return Result{Outcome: Conflict, Number: h.Number, Publish: p.id}
	}
	by, known := now.Head.PublishOf(h.Number)
	switch {
	case known && by == p.id:
		return Result{Outcome: Published, Number: h.Number, Publish: p.id}
	case known || !maybeWritten:
		return Result{Outcome: Conflict, Number: h.Number, Publish: p.id, WonBy: by}
	}
	return Result{
		Outcome: Unknown, Number: h.Number, Publish: p.id,
		Err: errors.Newf("the store is at number %d and no longer lists who published %d", now.Head.Number, h.Number),
	}
}

// get reads an object and tries again until the store answers or the context ends.
func (p *Publisher) get(ctx context.Context, key string) (sassafrastray.Object, error) {
	for try := 0; ; try++ {
		o, err := p.store.Get(ctx, key)
		if err == nil || errors.Is(err, sassafrastray.ErrNotFound) {
			return o, err
		}
		if p.backoff(ctx, try) != nil {
			return o, err
		}
	}
}

// list lists the objects with a prefix and tries again until the store answers or the
// context ends.
func (p *Publisher) list(ctx context.Context, prefix string) ([]sassafrastray.Object, error) {
	for try := 0; ; try++ {
		out, err := p.store.List(ctx, prefix)
		if err == nil {
			return out, nil
		}
		if p.backoff(ctx, try) != nil {
			return nil, errors.Wrap(err, "list chunks")
		}
	}
}

// backoff waits before the next try, between half and all of a delay that doubles with
// each try.
func (p *Publisher) backoff(ctx context.Context, try int) error {
	d := min(maxBackoff, minBackoff<<min(try, 16))
	return p.sleep(ctx, d/2+time.Duration(p.rand.Int64N(int64(d/2))))
}
