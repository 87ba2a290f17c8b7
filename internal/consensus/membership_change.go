package consensus

import (
	"context"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
)

// nextMembers gives the set to move to, nil once the membership is as it should be.
type nextMembers func(current *Membership) ([]Member, error)

// membershipChanger drives changes of the membership to their end. It has no state
// of its own and may be used from any goroutine.
type membershipChanger struct {
	change      func(context.Context, Change) (*State, error)
	caller      *memberCaller
	gossip      *gossip.Gossip
	maxFailures int
}

// Times of the check who has a membership on disk.
const (
	// unresponsivePatience bounds how long a member that is alive but does not answer,
	// such as one whose disk stalls, delays a change once it has been committed: a
	// joint membership tolerates fewer failures than either of its sets.
	unresponsivePatience = 1500 * clock.Millisecond
	// replicationPoll is the pause between two checks, a few round trips.
	replicationPoll = 20 * clock.Millisecond
	// replicationTimeout bounds a check; a member that takes longer counts as one
	// that does not answer.
	replicationTimeout = 400 * clock.Millisecond
)

// run drives one change of the membership to its end. A joint membership is
// committed only when all live members of the new set have it on disk, and the
// change is over when they have the committed one, too (design 4.4).
func (mc *membershipChanger) run(ctx context.Context, next nextMembers) (*State, error) {
	progress := membershipProgress{next: next}
	var firstCommit clock.Instant // of any membership by this driver
	for {
		state, err := mc.change(ctx, progress.advance)
		if err != nil {
			return state, err
		}
		if firstCommit == 0 {
			firstCommit = clock.Now()
		}
		if mc.isReplicated(ctx, state, clock.Since(firstCommit) < unresponsivePatience) {
			progress.replicated = state.Core.Version
			if progress.done {
				return state, nil
			}
			continue
		}
		clock.Sleep(ctx, replicationPoll.Duration())
		if ctx.Err() != nil {
			return state, errNotReplicated
		}
	}
}

// membershipProgress is how far a change of the membership is.
type membershipProgress struct {
	next       nextMembers
	replicated uint64 // version of the membership that all live members are known to have
	done       bool   // the membership last seen is as it should be
}

// advance is the Change that takes the next step. Like every Change it may run
// several times before one result is committed.
func (mp *membershipProgress) advance(current *State) (*State, error) {
	mp.done = false
	if current.Core.Joint() {
		if mp.replicated != current.Core.Version {
			return nil, nil // committed again, which brings it to those that lack it
		}
		current.Core = current.Core.Commit()
		return current, nil
	}
	members, err := mp.next(&current.Core)
	if err != nil {
		return nil, err
	}
	if members == nil {
		mp.done = true
		return nil, nil
	}
	current.Core = current.Core.Begin(members)
	return current, nil
}

// isReplicated tells whether maxFailures+1 members of the current set, a majority of
// it and, if all is set, all that are alive have a state with this membership, or a
// later one, on disk.
func (mc *membershipChanger) isReplicated(ctx context.Context, state *State, all bool) bool {
	members := state.Core.Current
	readOnly := func(m Member) any { return &prepareRequest{Member: m.ID, ReadOnly: true} }
	responses := callMembers[prepareResponse](ctx, mc.caller, members, kindPrepare, replicationTimeout, readOnly)
	replicas, lacking := 0, false
	for range members {
		r := <-responses
		switch {
		case r.err != nil:
			view := mc.gossip.Snapshot()
			lacking = lacking || isLive(r.member, view) && view.InContact(r.member.Name)
		case r.response.State == nil || r.response.State.Core.Version < state.Core.Version:
			lacking = true
		default:
			replicas++
		}
	}
	return !(all && lacking) && 2*replicas > len(members) && replicas >= min(len(members), mc.maxFailures+1)
}
