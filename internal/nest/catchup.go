package nest

import (
	"context"

	"rowanshunt/internal/wax"
)

// catchUpAfterUs is how long an acceptor lies behind the newest committed state
// before it fetches what it missed: the accept of a change under way comes of
// itself.
const catchUpAfterUs = 600_000

// lag is since when this node's acceptor lies behind.
type lag struct {
	sinceUs int64
}

// due tells whether an acceptor that lies behind, or not, is to catch up now.
func (l *lag) due(behind bool, nowUs int64) bool {
	switch {
	case !behind:
		l.sinceUs = 0
	case l.sinceUs == 0:
		l.sinceUs = nowUs
	case nowUs-l.sinceUs > catchUpAfterUs:
		l.sinceUs = nowUs // once more later, if it fails
		return true
	}
	return false
}

// acceptedRev is the revision that the acceptor holds; not ok: the acceptor is
// at its disk, which the caller doesn't wait for.
func (a *Acceptor) acceptedRev() (rev uint64, ok bool) {
	if !a.mu.TryLock() {
		return 0, false
	}
	defer a.mu.Unlock()
	if a.v.State == nil {
		return 0, true
	}
	return a.v.State.Rev, true
}

// behind tells whether this node's acceptor is a member and lacks the newest
// committed state that the node knows.
func (n *Nest) behind(known *State, committed bool) bool {
	if n.seat == nil || !committed || !known.Core.Has(n.seat.ID()) {
		return false
	}
	rev, ok := n.seat.acceptedRev()
	return ok && rev < known.Rev
}

// catchUp brings this node's acceptor the state that it missed, so that it
// counts as holding it without waiting for the next change (design 4.5). What a
// member accepted, with its ballot, is an accept message that some proposer
// sent: to take it late is as sound as to take it in time. An acceptor that has
// promised more since takes part in a round of its own instead.
func (n *Nest) catchUp(ctx context.Context) {
	known, _ := n.Known()
	for _, s := range known.Core.All() {
		if s.ID == n.seat.ID() {
			continue
		}
		missed := &prepareAnswer{}
		call := &prepareCall{Seat: s.ID, Peek: true}
		if err := n.cfg.Mesh.Call(ctx, n.addrOf(s), "nest.prepare", call, missed); err != nil || missed.State == nil || missed.State.Rev < known.Rev {
			continue
		}
		out, err := n.seat.Accept(ctx, &acceptCall{Seat: n.seat.ID(), Ballot: missed.Accepted, State: missed.State})
		if err != nil {
			n.cfg.Log.Debug("catch_up_waits", "err", err)
			return
		}
		if out.OK {
			n.cfg.Log.Info("caught_up", "rev", missed.State.Rev, "from", s.Name)
			return
		}
		break
	}
	if _, err := n.Change(ctx, func(*State) (*State, error) { return nil, nil }); err != nil && !wax.Is(err, wax.Declined) {
		n.cfg.Log.Debug("catch_up_waits", "err", err)
	}
}
