package lotstore

import (
	"rowanshunt/internal/fault"
)

// What lots may take of a store's disk and memory (design 10.5). The figures are
// our own.
const (
	// reserveShare of the disk, but at least minReserveBytes, is kept free of
	// lots: a half of it for what is appended between the decision to rewrite and
	// the rewrite, the other half for the node's other files.
	reserveShare    = 16
	minReserveBytes = 2 << 20
	// diskPercent of the rest may be taken by lots: a rewrite needs the old file
	// beside the new one, and what is left of the second half is the log's.
	diskPercent = 44
	// memoryPercent of the memory may be taken by lots: they are all in memory,
	// and the heap has garbage and calls besides.
	memoryPercent = 30

	countEveryUs   = 1_000_000
	rewritePauseUs = 5_000_000 // after a rewrite that failed

	// What is kept free for the result of an item that has none yet: a quarter
	// more than the mean of the results that are here, or presetResultBytes
	// while there are fewer than minResults.
	presetResultBytes = 4096
	minResultBytes    = 256
	minResults        = 32

	storedItemBytes = 32 // of an item beside what Lot.cost counts: its row
	noRoomAfterMs   = maxAfterMs

	appendedItemBytes = 256 // cursor rows of an item's runs, before its result
	appendedLotBytes  = 512 // the end of a lot, its shedding and its drop
)

// spaceUse is what the lots of this store take, as of the last count.
type spaceUse struct {
	countedUs   int64
	heldBytes   int64 // of a file that is rewritten now, at most
	owedBytes   int64 // of the results of items that were accepted and have none
	addedBytes  int64 // of lots that were accepted since the count, with their results
	appendBytes int64 // what the lots here may still append to the file
	resultBytes int64 // kept free for one result
}

// usedBytes is what must find room.
func (u *spaceUse) usedBytes() int64 { return u.heldBytes + u.owedBytes + u.addedBytes }

// storedBytes is what a lot takes in a rewritten file, at most.
func (l *Lot) storedBytes() int64 {
	if l.closedBytes > 0 {
		return l.closedBytes
	}
	n := int64(l.cost()) + int64(len(l.ID)+len(l.Host)+len(l.Path)+len(l.Route)) + storedItemBytes*int64(len(l.Prompts))
	for i := range l.Prompts {
		n += int64(len(l.Prompts[i].ID))
	}
	if l.closed() {
		l.closedBytes = n
	}
	return n
}

// openItems is how many items may still bring a result.
func (l *Lot) openItems() int64 {
	if l.Ended {
		return 0
	}
	return int64(len(l.Prompts) - len(l.List))
}

// countSpace counts what all lots here take.
func (b *Store) countSpace(nowUs int64) {
	var held, open, results, resultBytes, lots int64
	for _, s := range b.shards {
		for _, l := range s.lots {
			held += l.storedBytes()
			lots++
			open += l.openItems()
			for i := range l.List {
				resultBytes += int64(len(l.List[i].Msg))
			}
			results += int64(len(l.List))
		}
	}
	one := int64(presetResultBytes)
	if results >= minResults {
		one = max(resultBytes/results*5/4, minResultBytes)
	}
	b.space = spaceUse{countedUs: nowUs, heldBytes: held, owedBytes: open * one, resultBytes: one,
		appendBytes: open*(one+appendedItemBytes) + lots*appendedLotBytes}
}

// spaceTick counts anew and rewrites the file where that is due and fits.
func (b *Store) spaceTick(nowUs int64) {
	if nowUs-b.space.countedUs < countEveryUs {
		return
	}
	defer b.maybeRewrite(nowUs)
	wasFull := b.full()
	b.countSpace(nowUs)
	if !b.rewriting {
		b.longBytes = b.nextLong()
	}
	if full := b.full(); full != wasFull {
		b.cfg.Log.Info("store_space", "full", full, "held", b.space.heldBytes, "owed", b.space.owedBytes, "file", b.wal.SizeBytes())
	}
}

// reserveBytes is the part of the disk that lots leave free.
func (b *Store) reserveBytes() int64 { return max(b.cfg.DiskBytes/reserveShare, minReserveBytes) }

// lotBytes is the most that lots may take if rewrites are to go on for ever. A
// bound that is not known is none.
func (b *Store) lotBytes() int64 {
	most := int64(1) << 62
	if b.cfg.DiskBytes > 0 {
		most = (b.cfg.DiskBytes - b.reserveBytes()) * diskPercent / 100
	}
	if b.cfg.MemoryBytes > 0 {
		most = min(most, b.cfg.MemoryBytes*memoryPercent/100)
	}
	return most
}

// hasRoom tells whether a lot may be accepted: it, its results, and all that was
// accepted before must find room here and at the replicas that told of theirs. A
// file that can't be rewritten now is left to what was accepted already.
// An offer has no prompts yet.
func (b *Store) hasRoom(s *shard, l *Lot) bool {
	for _, f := range s.owner.feeds {
		if f.full && !f.cold {
			return false
		}
	}
	return b.findsRoom(b.projectedBytes(l))
}

// projectedBytes is what a lot takes once all its results are there.
func (b *Store) projectedBytes(l *Lot) int64 {
	one := b.space.resultBytes
	if one == 0 {
		one = presetResultBytes
	}
	return int64(l.cost()) + (one+storedItemBytes)*int64(len(l.Prompts))
}

// full tells whether this store wants no new lots.
func (b *Store) full() bool { return !b.findsRoom(0) }

// findsRoom tells whether so much more fits, with all that was accepted: into the
// memory, and on the disk either by rewrites for as long as need be, or without
// any, at the end of the file that is there. A file that grows so far that it can't
// be rewritten takes no lots until its lots have shed their texts; the reserve then
// has room for what is left of them.
func (b *Store) findsRoom(moreBytes int64) bool {
	used := b.space.usedBytes() + moreBytes
	if b.cfg.MemoryBytes > 0 && used > b.cfg.MemoryBytes*memoryPercent/100 {
		return false
	}
	if b.cfg.DiskBytes <= 0 || used <= b.lotBytes() && b.rewriteFits() {
		return true
	}
	appended := b.wal.SizeBytes() + b.wal.WaitingBytes() + b.space.appendBytes + b.space.addedBytes + moreBytes
	return appended <= b.cfg.DiskBytes-b.reserveBytes()
}

// nextLong is the length at which the file is rewritten next: twice what its
// lots take, but no longer than a rewrite fits beside it, and no shorter than one
// saves something.
func (b *Store) nextLong() int64 {
	held := b.space.heldBytes
	long := max(2*held, b.minLongBytes)
	if b.cfg.DiskBytes > 0 {
		long = min(long, b.cfg.DiskBytes-b.reserveBytes()-held)
	}
	return max(long, held+held/8)
}

// rewriteFits tells whether the old file and the new one have room side by side,
// with half of the reserve left. One that doesn't fit is not begun: it would fill
// the disk and fail.
func (b *Store) rewriteFits() bool {
	if b.cfg.DiskBytes <= 0 {
		return true
	}
	there := b.wal.SizeBytes() + b.wal.WaitingBytes()
	return there+b.space.heldBytes+b.space.addedBytes+b.reserveBytes()/2 <= b.cfg.DiskBytes
}

// maybeRewrite begins a rewrite that is due and fits.
func (b *Store) maybeRewrite(nowUs int64) {
	if !b.rewriting && b.wal.SizeBytes() > b.longBytes && nowUs >= b.rewriteAfterUs && b.rewriteFits() {
		b.rewrite()
	}
}

// Bounds of what is let go at a time, and of how much longer than owed it stays.
const (
	maxShedPerPoll  = 16
	textsMarginUs   = 5_000_000
	defaultPollSpan = 120_000_000
)

// textsUs is the age to which a lot's results are kept: poll_s, for which they are
// owed from the time at which the lot was sent, and a margin for calls under way.
// Ages run late, never early (design 8.12).
func (b *Store) textsUs() int64 {
	if b.cfg.PollSpanUs > 0 {
		return b.cfg.PollSpanUs + textsMarginUs
	}
	return defaultPollSpan + textsMarginUs
}

// shedTexts lets go of what a closed lot brought; what tells that its id was
// taken, and by which items, stays (design 8.4).
func (b *Store) shedTexts(s *shard, l *Lot) {
	b.issue(s, op{Kind: opPut, Lot: l.ID, Rev: l.Rev + 1, Whole: l.bare()}, func(error) {})
	if got := s.lots[l.ID]; got != nil && got.live != nil {
		got.live = &live{}
	}
}

// items is how many items the lot has, or had before they were let go.
func (l *Lot) items() int { return max(len(l.Prompts), l.ShedItems) }

// wasShed tells whether the lot's results were let go.
func (l *Lot) wasShed() bool { return l.ShedItems > 0 }

// errShed is the answer to readers of a lot whose results are owed no more.
func errShed(lot string) error {
	return fault.New(fault.Unknown, lot, "its results are kept no longer", "read a lot within poll_s")
}
