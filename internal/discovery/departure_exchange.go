package discovery

import (
	"context"
	"slices"
	"sync/atomic"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/eventloop"
)

// departureExchange reads the departure logs of core members, so that the table has the
// departures that the core holds, and serves this node's own log (design 5.4). Its
// fields belong to the event loop, busy aside.
type departureExchange struct {
	localNode
	contact *coreContact
	sources *sources

	cursors map[string]departureCursor // by member: how far its log was read
	turn    int                        // rotates the members
	busy    atomic.Bool                // readFirst is under way
}

// readCause is why a node that is no member of the core reads a departure log.
type readCause struct {
	aggregates   bool // other nodes rely on it
	sourceSilent bool // its own source failed
}

// handleDepartures answers kindDepartures with what the caller has not read yet.
func (de *departureExchange) handleDepartures(ctx context.Context, in *departureCursor) (*departurePage, error) {
	return eventloop.Call(ctx, de.loop, func() *departurePage {
		now := clock.Now()
		page := de.table.departuresSince(*in, now)
		page.CutOff = !de.contact.reachesMajority(now)
		return page
	})
}

// read starts reading: a core member reads the logs of all other members, another node
// that has a cause that of one of them. It runs on the event loop.
func (de *departureExchange) read(ctx context.Context, cause readCause) {
	members, isMember := de.candidates(clock.Now())
	switch {
	case len(members) == 0:
	case isMember:
		for _, m := range members {
			// Ends with the first call that fails or with the end of the log, which
			// holds at most maxWorkers departures; a call takes departuresTimeout.
			go func() { _ = de.readLog(ctx, m) }()
		}
	case cause.aggregates || cause.sourceSilent:
		de.readFirst(ctx, members)
	}
}

// candidates lists the other members of the core that may be alive, from another one at
// each turn so that the load is spread, and those last that failed recently.
func (de *departureExchange) candidates(now clock.Instant) (members []consensus.Member, isMember bool) {
	var silent []consensus.Member
	view := de.view()
	for _, m := range de.contact.members() {
		switch {
		case m.Name == de.self.Name:
			isMember = true
		case !mayBeAlive(view, m.Name):
		case de.sources.isSilent(m.Name, now):
			silent = append(silent, m)
		default:
			members = append(members, m)
		}
	}
	de.turn++
	return append(rotated(members, de.turn), silent...), isMember
}

// rotated gives the members in their order, starting from another one at each turn.
func rotated(members []consensus.Member, turn int) []consensus.Member {
	if len(members) == 0 {
		return nil
	}
	first := turn % len(members)
	return slices.Concat(members[first:], members[:first])
}

// readFirst reads the log of the first member, in their order, that answers and reaches
// a majority of the core. It does nothing while an earlier one is under way, which
// bounds its goroutine to one.
func (de *departureExchange) readFirst(ctx context.Context, members []consensus.Member) {
	if !de.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer de.busy.Store(false)
		for _, m := range members {
			if de.readLog(ctx, m) == nil {
				return
			}
			_ = de.loop.Post(ctx, func() { de.sources.markSilent(m.Name, clock.Now()) })
		}
	}()
}

// readLog reads what is new in one member's log, page by page. It fails with errCutOff
// if the member does not reach a majority of the core.
func (de *departureExchange) readLog(ctx context.Context, m consensus.Member) error {
	for {
		cursor, err := eventloop.Call(ctx, de.loop, func() departureCursor { return de.cursors[m.Name] })
		if err != nil {
			return err
		}
		started := clock.Now()
		page, err := de.client.departures(m, cursor)
		if err != nil {
			return err
		}
		if err := de.loop.Post(ctx, func() { de.apply(m.Name, page, started) }); err != nil {
			return err
		}
		switch {
		case page.More:
		case page.CutOff:
			return errCutOff
		default:
			return nil
		}
	}
}

// apply merges one page of a member's log that was read by a call which started then.
func (de *departureExchange) apply(member string, page *departurePage, started clock.Instant) {
	de.contact.recordRead(member, page.CutOff, started)
	de.cursors[member] = page.Next
	de.table.mergeAll(page.Workers, clock.Now())
}
