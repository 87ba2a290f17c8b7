package consensus

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/logging"
)

// acceptorCatchUpAfter is how long the acceptor must lack the newest committed state
// before the node acts: an accept that is on its way arrives well before.
const acceptorCatchUpAfter = 600 * clock.Millisecond

// acceptorCatchUp brings this node's acceptor the state that it missed, so that it
// counts as holding it without waiting for the next change (design 4.5).
type acceptorCatchUp struct {
	acceptor *Acceptor
	learner  *learner
	caller   *memberCaller
	change   func(context.Context, Change) (*State, error)
	log      *logging.Log

	behind conditionTimer // owned by the event loop
}

// isDue tells whether the acceptor has been behind for long enough. It runs on the
// event loop, at each tick.
func (ac *acceptorCatchUp) isDue(latest *State, committed bool, now clock.Instant) bool {
	return ac.behind.fires(ac.isBehind(latest, committed), acceptorCatchUpAfter, now)
}

// isBehind tells whether this node's acceptor is a member and lacks the newest
// committed state that the node knows.
func (ac *acceptorCatchUp) isBehind(latest *State, committed bool) bool {
	return committed && latest.Core.Has(ac.acceptor.ID()) && ac.acceptor.acceptedRevision() < latest.Revision
}

// run accepts what another member accepted. Where that is not possible, a round of
// this node's own commits the state anew.
func (ac *acceptorCatchUp) run(ctx context.Context) {
	latest, _ := ac.learner.latest()
	from, accepted, err := ac.acceptor.acceptMissed(ctx, ac.caller, latest)
	if accepted {
		ac.log.Info("acceptor_caught_up", "revision", latest.Revision, "from", from)
		return
	}
	if err == nil {
		_, err = ac.change(ctx, noChange)
	}
	if err != nil {
		ac.log.Debug("acceptor_catch_up_failed", "err", err)
	}
}

// acceptMissed accepts the newest state that another member accepted, if it is at
// least as new as latest, and tells from whom it came. What a member accepted, with
// its ballot, is an accept message that some proposer sent: accepting it late is as
// sound as accepting it in time. It is not accepted where no member has it, or where
// a higher ballot was promised here since.
func (a *Acceptor) acceptMissed(ctx context.Context, caller *memberCaller, latest *State) (from string, accepted bool, err error) {
	for _, m := range latest.Core.All() {
		if m.ID == a.ID() {
			continue
		}
		missed := &prepareResponse{}
		request := &prepareRequest{Member: m.ID, ReadOnly: true}
		if err := caller.call(ctx, m, kindPrepare, request, missed); err != nil || missed.State == nil || missed.State.Revision < latest.Revision {
			continue
		}
		response, err := a.Accept(ctx, &acceptRequest{Member: a.ID(), Ballot: missed.Accepted, State: missed.State})
		return m.Name, err == nil && response.OK, err
	}
	return "", false, nil
}
