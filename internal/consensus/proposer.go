package consensus

import (
	"context"
	"math/rand/v2"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/rpc"
)

// Change makes the next state out of the newest one; the returned state gets
// its Revision from the register. A nil state with a nil error changes nothing. With
// an error, which refuses the request, a state that records the refusal may
// be returned: it is committed before the refusal is answered.
type Change func(current *State) (*State, error)

// roundTimeout bounds a prepare or accept round and each of its calls. It is well
// above a disk's write and a round trip, and well below the deadlines of callers, so
// that a silent member leaves time for another attempt.
const roundTimeout = 700 * clock.Millisecond

// roundKinds are the kinds of the calls of a register's two rounds.
type roundKinds struct{ prepare, accept string }

var (
	registerRounds  = roundKinds{kindPrepare, kindAccept}
	bootstrapRounds = roundKinds{kindBootstrapPrepare, kindBootstrapAccept}
)

// Proposer drives proposals, one at a time; other calls of Change wait. Its ballots
// only grow, so a node must use one proposer of a register in an incarnation: a
// second one would use the ballots of the first again, perhaps for another value.
type Proposer struct {
	id       string
	caller   memberCaller
	rounds   roundKinds
	latest   func() (state *State, committed bool)
	onCommit func(*State)

	exclusive chan struct{} // holds one token, taken by the call of Change that runs
	// highestNumber is that of the last ballot used or seen. Whoever has the token
	// of exclusive owns it.
	highestNumber uint64
}

// NewProposer makes the proposer of one incarnation of a node; id must be unique to
// it. latest gives the newest state the node knows and whether it is committed;
// onCommit receives the states that this proposer finds committed.
func NewProposer(id string, transport rpc.Transport, addrOf func(Member) string, latest func() (*State, bool), onCommit func(*State)) *Proposer {
	p := &Proposer{
		id:        id,
		caller:    memberCaller{transport: transport, addrOf: addrOf},
		rounds:    registerRounds,
		latest:    latest,
		onCommit:  onCommit,
		exclusive: make(chan struct{}, 1),
	}
	p.exclusive <- struct{}{}
	return p
}

// Read returns a committed state that is at least as new as any committed when the call
// began. One read-only round is enough while a majority agrees; otherwise the full two
// rounds decide.
func (p *Proposer) Read(ctx context.Context) (*State, error) {
	s, err := p.QuorumRead(ctx)
	if latest, _ := p.latest(); err == nil || latest == nil {
		return s, err
	}
	return p.Change(ctx, noChange)
}

// noChange commits the newest state again.
func noChange(*State) (*State, error) { return nil, nil }

// QuorumRead is a Read without the two rounds: it fails with an Unsure fault where
// the members of a majority do not agree. It costs the members no write and competes
// with no proposer, however many nodes read at a time.
func (p *Proposer) QuorumRead(ctx context.Context) (*State, error) {
	latest, committed := p.latest()
	if latest == nil {
		return nil, errNotBootstrapped
	}
	votes := map[string]bool{}
	var newest *prepareResponse
	unanimous := true
	readOnly := func(m Member) any { return &prepareRequest{Member: m.ID, ReadOnly: true} }
	runRound(ctx, p, latest.Core.All(), p.rounds.prepare, readOnly, func(r memberResponse[prepareResponse]) bool {
		if r.err != nil {
			return false
		}
		if newest != nil && newest.Accepted != r.response.Accepted {
			unanimous = false
		}
		if newest == nil || newest.Accepted.Less(r.response.Accepted) {
			newest = r.response
		}
		votes[r.member.ID] = true
		return latest.Core.Quorum(votes)
	})
	if !unanimous || !latest.Core.Quorum(votes) {
		return nil, errDisagreement
	}
	if newest.State == nil {
		if !committed {
			// latest is only what the acceptor of this node had accepted before it restarted.
			return nil, errDisagreement
		}
		return latest, nil // chosen by the bootstrap; no member of a majority accepted a later one
	}
	if newest.State.Core.Version != latest.Core.Version || !newest.State.Core.Quorum(votes) {
		return nil, errDisagreement
	}
	p.onCommit(newest.State)
	return newest.State, nil
}

// Change runs change on the newest state and commits what it returns. If change
// refuses, the state it saw is committed first, so that the refusal rests on a state
// that will stay. With an Unsure fault the change may or may not take effect.
func (p *Proposer) Change(ctx context.Context, change Change) (*State, error) {
	select {
	case <-p.exclusive:
	case <-ctx.Done():
		return nil, errNoTurn
	}
	defer func() { p.exclusive <- struct{}{} }()
	call := newProposal(change)
	for attempt := 0; ; attempt++ {
		if attempt > 0 && ctx.Err() == nil {
			clock.Sleep(ctx, attemptBackoff(attempt))
		}
		if ctx.Err() != nil {
			return nil, call.timeoutError()
		}
		if !p.prepare(ctx, call) {
			continue
		}
		members := call.propose()
		if call.discoveredNewerMembership() {
			attempt = 0 // the backoff starts over with the membership discovered
		}
		if len(members) == 0 {
			continue
		}
		p.accept(ctx, call, members)
		committed, ended := call.conclude()
		if committed != nil {
			p.onCommit(committed)
		}
		if ended {
			return committed, call.refusal
		}
	}
}

// attemptBackoff is the random delay before a further attempt. It is short, since a
// proposer that was outbid must top the higher ballot soon, and it grows, so that
// competing proposers stop colliding.
func attemptBackoff(attempt int) time.Duration {
	return time.Duration(5+rand.IntN(20*min(attempt, 8))) * time.Millisecond
}

// prepare sends a prepare round, false if there is no member to send it to. Both
// rounds end when a member refuses for a higher ballot: the next attempt tops it,
// while waiting for a silent member would let others top this one again and again.
func (p *Proposer) prepare(ctx context.Context, call *proposal) bool {
	p.highestNumber++
	latest, committed := p.latest()
	ballot := Ballot{Number: p.highestNumber, Proposer: p.id}
	members := call.prepare(latest, committed, ballot)
	if len(members) == 0 {
		return false
	}
	request := func(m Member) any { return &prepareRequest{Member: m.ID, Ballot: ballot} }
	runRound(ctx, p, members, p.rounds.prepare, request, func(r memberResponse[prepareResponse]) bool {
		return r.err == nil && (call.promised(r.member.ID, r.response) || !r.response.OK)
	})
	p.highestNumber = max(p.highestNumber, call.highestSeen)
	return true
}

// accept sends an accept round.
func (p *Proposer) accept(ctx context.Context, call *proposal, members []Member) {
	request := func(m Member) any { return &acceptRequest{Member: m.ID, Ballot: call.ballot, State: call.value} }
	runRound(ctx, p, members, p.rounds.accept, request, func(r memberResponse[acceptResponse]) bool {
		return r.err == nil && (call.accepted(r.member.ID, r.response) || !r.response.OK)
	})
	p.highestNumber = max(p.highestNumber, call.highestSeen)
}

// runRound calls all members at once and hands the responses to done until it is
// satisfied or the round's time is over. Calls that are not waited for go on after
// it returns, also past the end of ctx, for at most roundTimeout each: what was sent
// should reach as many members as it can.
func runRound[T any](ctx context.Context, p *Proposer, members []Member, kind string, request func(Member) any, done func(memberResponse[T]) bool) {
	responses := callMembers[T](context.WithoutCancel(ctx), &p.caller, members, kind, roundTimeout, request)
	timer := time.NewTimer(roundTimeout.Duration())
	defer timer.Stop()
	for range members {
		select {
		case r := <-responses:
			if done(r) {
				return
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
