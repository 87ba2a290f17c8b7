package consensus

import (
	"context"
	"slices"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/logging"
)

const (
	// confirmAfter is how long the acceptor must hold a state that is not known to be
	// committed before the node acts: a proposer's broadcast arrives well before.
	confirmAfter = 300 * clock.Millisecond
	// confirmStep is how much later each further member acts, so that one confirms
	// for all: a tick of the maintenance.
	confirmStep = maintenancePeriod
)

// confirmation finds out whether a state that this node's acceptor holds is
// committed, where nobody says so: its proposer may have acknowledged the change and
// ended before it broadcast the state (design 4.5).
type confirmation struct {
	acceptor  *Acceptor
	read      func(context.Context) (*State, error)
	broadcast func(*State)
	log       *logging.Log

	// Owned by the event loop.
	unconfirmed conditionTimer
	delay       clock.Micros // changes with the membership only
}

// updateDelay sets the delay for a membership: each member has its own, so that one
// confirms for all. It runs on the event loop.
func (c *confirmation) updateDelay(core *Membership) {
	position := slices.IndexFunc(core.Current, func(m Member) bool { return m.ID == c.acceptor.ID() })
	c.delay = confirmAfter + clock.Micros(max(position, 0))*confirmStep
}

// isDue tells whether the acceptor has been ahead of the newest committed state that
// the node knows for long enough. It runs on the event loop, at each tick.
func (c *confirmation) isDue(latest *State, committed bool, now clock.Instant) bool {
	ahead := committed && c.acceptor.acceptedRevision() > latest.Revision
	return c.unconfirmed.fires(ahead, c.delay, now)
}

// run reads what is committed at a majority and broadcasts it.
func (c *confirmation) run(ctx context.Context) {
	s, err := c.read(ctx)
	if err != nil {
		c.log.Debug("commit_confirmation_failed", "err", err)
		return
	}
	c.log.Info("commit_confirmed", "revision", s.Revision)
	c.broadcast(s)
}
