package brood

import (
	"context"

	"rowanshunt/internal/waggle"
)

// shardClock counts the time during which a shard had an owner: the ages of its
// lots are read from it (design 8.12). It runs on the owner's steady clock and
// goes on, at the next owner or after a restart, from the highest value recorded
// at the replicas that the claim heard. So it is never ahead of the time that
// passed: what may not happen before a time happens late rather than early.
type shardClock struct {
	recordedUs int64 // highest value known here, by a record or as the owner
	savedUs    int64 // highest value on this disk
	startUs    int64 // steady time at which the owner here took it up; 0: it stands
}

// How often the clock is recorded at least, while the owner has nothing else to
// record.
const (
	clockEveryUs     = 250_000   // at the replicas, while a lot is open
	clockIdleEveryUs = 5_000_000 // the same, while all lots are closed
	clockSaveUs      = 1_000_000 // on their disks
)

// now reads the clock; it stands still where this node is not the owner.
func (c *shardClock) now(steadyUs int64) int64 {
	if c.startUs == 0 {
		return c.recordedUs
	}
	return c.recordedUs + steadyUs - c.startUs
}

// record takes a value that an owner recorded. This node's own clock does not
// follow it while it runs.
func (c *shardClock) record(clockUs int64) {
	if c.startUs == 0 {
		c.recordedUs = max(c.recordedUs, clockUs)
	}
}

// saved notes that this value goes to the disk with a record.
func (c *shardClock) saved(clockUs int64) { c.savedUs = max(c.savedUs, clockUs) }

// start lets the clock run on from at least a value found elsewhere. It begins
// at 1: a lot with 0 has no place on it yet.
func (c *shardClock) start(steadyUs, atLeastUs int64) {
	c.recordedUs, c.startUs = max(c.now(steadyUs), atLeastUs, 1), steadyUs
}

// stop keeps the value that the clock has reached.
func (c *shardClock) stop(steadyUs int64) { c.recordedUs, c.startUs = c.now(steadyUs), 0 }

// ageUs is how long the lot has waited while its shard had an owner.
func (s *shard) ageUs(l *Lot, steadyUs int64) int64 { return s.clock.now(steadyUs) - l.BornUs }

// placeOnClock gives a lot that an owner of the version before accepted its place
// on the clock, true if it had none: it counts as accepted now, so that nothing of
// it comes too early. Such a lot is to be written whole.
func (s *shard) placeOnClock(l *Lot, steadyUs int64) bool {
	if l.BornUs != 0 {
		return false
	}
	l.BornUs = s.clock.now(steadyUs)
	return true
}

// clockTick records the clocks of the shards that had nothing else to record
// lately, so that a takeover loses little of them.
func (b *Brood) clockTick(steadyUs int64) {
	for _, s := range b.shards {
		if s.owner == nil || !s.owner.ready || len(s.lots) == 0 {
			continue
		}
		if steadyUs-s.owner.clockSentUs >= s.clockEvery() {
			b.issue(s, op{Kind: opNone}, func(error) {})
		}
	}
}

func (s *shard) clockEvery() int64 {
	for _, l := range s.lots {
		if !l.closed() {
			return clockEveryUs
		}
	}
	return clockIdleEveryUs
}

// saveClock writes the clock to this disk if that has not been done lately, as
// an op that changes no lot.
func (b *Brood) saveClock(s *shard, stamp Stamp, clockUs int64) {
	if clockUs-s.clock.savedUs < clockSaveUs {
		return
	}
	s.clock.saved(clockUs)
	b.persist(&record{Shard: s.n, Ops: []op{{Kind: opNone, Stamp: stamp, ClockUs: clockUs}}}, func() {})
}

type clockCall struct {
	Seat  string
	Shard int
}

type clockAnswer struct {
	ClockUs int64
}

// onClock tells the highest value of a shard's clock that is known here.
func (b *Brood) onClock(ctx context.Context, in *clockCall) (*clockAnswer, error) {
	return answered(ctx, b.cfg.Floor, func(reply func(*clockAnswer, error)) {
		s, err := b.mine(in.Seat, in.Shard)
		if err != nil {
			reply(nil, err)
			return
		}
		reply(&clockAnswer{ClockUs: s.clock.now(waggle.NowUs())}, nil)
	})
}

// askClock reads a shard's clock at a replica, 0 at one of the version before.
func (b *Brood) askClock(ctx context.Context, addr string, in *clockCall) int64 {
	out := &clockAnswer{}
	if in.Seat == b.cfg.Seat {
		here, err := b.onClock(ctx, in)
		if err != nil {
			return 0
		}
		return here.ClockUs
	}
	if err := b.cfg.Mesh.Call(ctx, addr, "brood.clock", in, out); err != nil {
		return 0
	}
	return out.ClockUs
}
