// Package publish puts configurations into the object store, so that exactly
// one publish makes each number.
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
	// Published means that the configuration has its number.
	Published Outcome = "published"
	// Unchanged means that the store has the same content already.
	Unchanged Outcome = "unchanged"
	// Lost means that another publish made the number first, and that this
	// one changed nothing.
	Lost Outcome = "lost"
	// Refused means that the store did not take the write in time, and that
	// this publish changed nothing.
	Refused Outcome = "refused"
	// Unknown means that the last write had no answer and that time ran out
	// before the store could be read.
	Unknown Outcome = "unknown"
)

// Delays between tries while the store is out.
const (
	firstDelay = 50 * time.Millisecond
	lastDelay  = 5 * time.Second
)

// ErrBroken means that what is in force can't be read, whoever tries.
var ErrBroken = errors.New("the configuration in force is broken")

type (
	// Outcome is how a publish ended.
	Outcome string

	// Verdict tells how a publish ended. Number is the one that it made or,
	// if it lost, the one that By made. Err is why the store was of no help,
	// for Refused and Unknown.
	Verdict struct {
		Outcome Outcome
		Number  int64
		Publish string
		By      string
		Err     error
	}

	// Base is the head that a publish builds on. Config is nil if there is
	// none yet, or if it can't be assembled.
	Base struct {
		Head    config.Head
		Version int64
		Config  *sassafrastray.Config
	}

	// Publisher makes one publish.
	Publisher struct {
		store sassafrastray.Store
		sleep Sleep
		rand  *rand.Rand
		id    string
		// inline is the size of the largest configuration that is not cut
		// into chunks, keep for how many heads unused chunks stay.
		inline int
		keep   int64
	}

	// Sleep waits for d or until the context ends, whose error it returns.
	Sleep func(ctx context.Context, d time.Duration) error
)

// New returns a publisher under the given publish id.
func New(store sassafrastray.Store, sleep Sleep, r *rand.Rand, id string) *Publisher {
	return &Publisher{store: store, sleep: sleep, rand: r, id: id, inline: config.MaxInlineSize, keep: config.RetainedHeads}
}

// ID returns a publish id that names the operator and differs in each call.
func ID(operator string, r *rand.Rand) string {
	return fmt.Sprintf("%s/%016x", operator, r.Uint64())
}

// Base reads what is in force. It tries again while the store is out, until
// the context ends. A head whose configuration can't be assembled comes back
// with ErrBroken, and may serve as a base nevertheless.
func (p *Publisher) Base(ctx context.Context) (Base, error) {
	for {
		b, err := p.head(ctx)
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
		// The chunks of a head that is no longer in force may be gone.
		now, readErr := p.head(ctx)
		if readErr != nil {
			return b, readErr
		}
		if now.Version == b.Version {
			return b, errors.Mark(err, ErrBroken)
		}
	}
}

// head reads the head without its configuration.
func (p *Publisher) head(ctx context.Context) (Base, error) {
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

// Put publishes c as the successor of base. It sets the number and publish id
// of c. The error is for a configuration that can't be stored at all.
func (p *Publisher) Put(ctx context.Context, base Base, c *sassafrastray.Config) (Verdict, error) {
	if base.Config != nil && same(base.Config, c) {
		return Verdict{Outcome: Unchanged, Number: base.Head.Number, Publish: base.Head.Publish}, nil
	}
	c.Number, c.Publish = base.Head.Number+1, p.id
	h, chunks, err := config.Split(c, p.inline)
	if err != nil {
		return Verdict{}, err
	}
	h.History, h.Moves = history(base.Head), moves(base.Head, c)
	if err := p.writeChunks(ctx, base.sound(), chunks); err != nil {
		return Verdict{Outcome: Refused, Publish: p.id, Err: err}, nil
	}
	if h.Retired, err = p.retire(ctx, base.Head, h); err != nil {
		return Verdict{Outcome: Refused, Publish: p.id, Err: err}, nil
	}
	if n := len(h.Encode()); n > sassafrastray.MaxObject {
		return Verdict{}, errors.Newf("the head takes %d bytes, above the store's %d", n, sassafrastray.MaxObject)
	}
	v := p.putHead(ctx, base, h)
	if v.Outcome == Published {
		p.collect(ctx, h)
	}
	return v, nil
}

// same tells whether two configurations differ in nothing but their number
// and publish id.
func same(a, b *sassafrastray.Config) bool {
	c := *b
	c.Number, c.Publish = a.Number, a.Publish
	return config.Sum(a) == config.Sum(&c)
}

// sound returns the chunks that the store is known to hold undamaged.
func (b Base) sound() []config.Digest {
	if b.Config == nil {
		return nil
	}
	return b.Head.Chunks
}

// Previous returns what a change on this base is judged against.
func (b Base) Previous() *config.Previous {
	return &config.Previous{Config: b.Config, Moves: b.Head.Moves}
}

// history returns the latest publishes up to the one that made the head.
func history(h config.Head) []config.HistoryEntry {
	if h.Number == 0 {
		return nil
	}
	out := append([]config.HistoryEntry{{Number: h.Number, Publish: h.Publish}}, h.History...)
	return out[:min(len(out), config.MaxHistory)]
}

// moves returns the moves of c and those that earlier heads name.
func moves(h config.Head, c *sassafrastray.Config) []config.MoveID {
	out := config.Moves(c)
	for _, m := range h.Moves {
		if !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out[:min(len(out), config.MaxMoves)]
}

// putHead moves the head from the base to h. After a write without an answer
// it reads the head back, where its own publish id tells what happened.
func (p *Publisher) putHead(ctx context.Context, base Base, h config.Head) Verdict {
	var (
		value = h.Encode()
		doubt bool
		cause error
	)
	for try := 0; ; try++ {
		_, err := p.store.Put(ctx, config.HeadKey, value, base.Version)
		switch {
		case err == nil:
			return Verdict{Outcome: Published, Number: h.Number, Publish: p.id}
		case errors.Is(err, sassafrastray.ErrConflict):
			return p.readBack(ctx, h, doubt)
		case !errors.Is(err, sassafrastray.ErrUnavailable):
			// Whatever the store does not call untaken may have taken
			// effect, and trying again under the same version is safe.
			doubt = true
		}
		cause = err
		if p.backoff(ctx, try) != nil {
			break
		}
	}
	if doubt {
		return Verdict{Outcome: Unknown, Number: h.Number, Publish: p.id, Err: cause}
	}
	return Verdict{Outcome: Refused, Publish: p.id, Err: cause}
}

// readBack finds out who made the number that the head h wanted, after a
// conflict. Without doubt it can't have been this publish.
func (p *Publisher) readBack(ctx context.Context, h config.Head, doubt bool) Verdict {
	now, err := p.head(ctx)
	if err != nil {
		if doubt {
			return Verdict{Outcome: Unknown, Number: h.Number, Publish: p.id, Err: err}
		}
		return Verdict{Outcome: Lost, Number: h.Number, Publish: p.id}
	}
	by, known := now.Head.PublishOf(h.Number)
	switch {
	case known && by == p.id:
		return Verdict{Outcome: Published, Number: h.Number, Publish: p.id}
	case known || !doubt:
		return Verdict{Outcome: Lost, Number: h.Number, Publish: p.id, By: by}
	}
	return Verdict{
		Outcome: Unknown, Number: h.Number, Publish: p.id,
		Err: errors.Newf("the store is at number %d and no longer says who made %d", now.Head.Number, h.Number),
	}
}

// get reads an object and tries again while the store is out.
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

// list reads the objects below a prefix and tries again while the store is out.
func (p *Publisher) list(ctx context.Context, prefix string) ([]sassafrastray.Object, error) {
	for try := 0; ; try++ {
		out, err := p.store.List(ctx, prefix)
		if err == nil {
			return out, nil
		}
		if p.backoff(ctx, try) != nil {
			return nil, errors.Wrap(err, "list of chunks")
		}
	}
}

// backoff waits before the next try, a random part of a time that doubles
// from try to try.
func (p *Publisher) backoff(ctx context.Context, try int) error {
	d := min(lastDelay, firstDelay<<min(try, 16))
	return p.sleep(ctx, d/2+time.Duration(p.rand.Int64N(int64(d/2))))
}
