package nest

import (
	"context"
	"math/rand/v2"
	"time"

	"rowanshunt/internal/pollen"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
)

// Change makes the next state out of the newest one; the returned state gets
// its Rev from the register. A nil state with a nil error changes nothing. With
// an error, which refuses what was asked, a state that records the refusal may
// be returned: it is committed before the refusal is answered.
type Change func(now *State) (*State, error)

// Proposer runs the two rounds. One may run at a time in a node; others wait.
type Proposer struct {
	by      string
	mesh    pollen.Mesh
	addrOf  func(Seat) string
	known   func() (now *State, committed bool)
	learn   func(*State)
	turn    chan struct{}
	highest uint64
	kinds   [2]string
}

// NewProposer makes the proposer of one life of a node. known gives the newest
// committed state the node has seen; learn is told of newer ones.
func NewProposer(by string, mesh pollen.Mesh, addrOf func(Seat) string, known func() (*State, bool), learn func(*State)) *Proposer {
	p := &Proposer{by: by, mesh: mesh, addrOf: addrOf, known: known, learn: learn, turn: make(chan struct{}, 1), kinds: [2]string{"nest.prepare", "nest.accept"}}
	p.turn <- struct{}{}
	return p
}

const roundTimeout = 700 * time.Millisecond

// callOut is one seat's answer.
type callOut[T any] struct {
	seat Seat
	out  *T
	err  error
}

// askSeats calls all seats at once and feeds the answers to enough until it is
// satisfied or the round's time is over. The calls it leaves go on.
func askSeats[T any](ctx context.Context, p *Proposer, seats []Seat, kind string, in func(Seat) any, enough func(callOut[T]) bool) {
	answers := make(chan callOut[T], len(seats))
	for _, s := range seats {
		go func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), roundTimeout)
			defer cancel()
			out := new(T)
			err := p.mesh.Call(callCtx, p.addrOf(s), kind, in(s), out)
			answers <- callOut[T]{s, out, err}
		}()
	}
	timer := time.NewTimer(roundTimeout)
	defer timer.Stop()
	for range seats {
		select {
		case a := <-answers:
			if enough(a) {
				return
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Read gives a state that was committed after the call began or is at least as
// new as any then committed. One look at a majority is enough while all agree;
// otherwise the full two rounds settle it.
func (p *Proposer) Read(ctx context.Context) (*State, error) {
	known, _ := p.known()
	if known == nil {
		return nil, wax.New(wax.Unsure, "register", "is not founded here yet", "try again")
	}
	agreed := map[string]bool{}
	var top *prepareAnswer
	same := true
	askSeats(ctx, p, known.Core.All(), p.kinds[0], func(s Seat) any { return &prepareCall{Seat: s.ID, Peek: true} }, func(a callOut[prepareAnswer]) bool {
		if a.err != nil {
			return false
		}
		if top != nil && (top.Accepted != a.out.Accepted) {
			same = false
		}
		if top == nil || top.Accepted.Less(a.out.Accepted) {
			top = a.out
		}
		agreed[a.seat.ID] = true
		return known.Core.Quorum(agreed)
	})
	if same && known.Core.Quorum(agreed) {
		if top.State == nil {
			return known, nil
		}
		if top.State.Core.Ver == known.Core.Ver {
			p.learn(top.State)
			return top.State, nil
		}
	}
	return p.Change(ctx, func(*State) (*State, error) { return nil, nil })
}

// Change runs change on the newest state and commits what it returns. If
// change refuses, the state it saw is committed first, so that the refusal
// stands on something that will stay. An Unsure fault: may or may not be done.
func (p *Proposer) Change(ctx context.Context, change Change) (*State, error) {
	select {
	case <-p.turn:
	case <-ctx.Done():
		return nil, wax.New(wax.Declined, "register", "no turn in time", "try again")
	}
	defer func() { p.turn <- struct{}{} }()
	tried := false
	var basis *State // knowledge won in this call, maybe not committed
	for attempt := 0; ; attempt++ {
		if ctx.Err() != nil {
			kind := wax.Declined
			if tried {
				kind = wax.Unsure
			}
			return nil, wax.New(kind, "register", "no majority in time", "look which core machines run; try again")
		}
		if attempt > 0 {
			waggle.Pause(ctx, time.Duration(5+rand.IntN(20*min(attempt, 8)))*time.Millisecond)
			if ctx.Err() != nil {
				continue
			}
		}
		known, committed := p.known()
		if basis != nil && (known == nil || basis.Core.Ver > known.Core.Ver) {
			known, committed = basis, false
		}
		if known == nil {
			continue
		}
		ballot, found, ok := p.prepare(ctx, known)
		if !ok {
			// The seats it knows may be gone, all but one: what that one has
			// accepted tells whom to ask now (design 4.4).
			if found != nil && found.Core.Ver > known.Core.Ver {
				basis = found
				attempt = 0
			}
			continue
		}
		now := known
		if found != nil {
			if found.Core.Ver > known.Core.Ver {
				basis = found
				attempt = 0
				continue // again, with the roster that holds now
			}
			now = found
		}
		next, refusal := change(now.clone())
		commit := now.clone()
		if next != nil {
			if next.Core.Ver == now.Core.Ver || committed {
				commit = next
				commit.Rev = now.Rev + 1
			}
			tried = tried || refusal == nil
		}
		if p.accept(ctx, known, ballot, commit) {
			p.learn(commit)
			if next != nil && commit != next {
				// A roster only moves on from a committed one: without that
				// rule two rosters could each find a majority (design 4.4).
				basis = nil
				continue
			}
			return commit, refusal
		}
	}
}

// prepare asks for promises. found is the newest state that those who promised
// have accepted; without a majority (not ok) it is a hint and no more.
func (p *Proposer) prepare(ctx context.Context, known *State) (Ballot, *State, bool) {
	p.highest++
	ballot := Ballot{N: p.highest, By: p.by}
	agreed := map[string]bool{}
	var top *prepareAnswer
	askSeats(ctx, p, known.Core.All(), p.kinds[0], func(s Seat) any { return &prepareCall{Seat: s.ID, Ballot: ballot} }, func(a callOut[prepareAnswer]) bool {
		if a.err != nil {
			return false
		}
		p.highest = max(p.highest, a.out.Promised.N)
		if !a.out.OK {
			return false
		}
		if a.out.State != nil && (top == nil || top.Accepted.Less(a.out.Accepted)) {
			top = a.out
		}
		agreed[a.seat.ID] = true
		return known.Core.Quorum(agreed)
	})
	var found *State
	if top != nil {
		found = top.State
	}
	return ballot, found, known.Core.Quorum(agreed)
}

func (p *Proposer) accept(ctx context.Context, known *State, ballot Ballot, next *State) bool {
	seats := known.Core.All()
	for _, s := range next.Core.All() {
		have := false
		for _, t := range seats {
			have = have || t.ID == s.ID
		}
		if !have {
			seats = append(seats, s)
		}
	}
	agreed := map[string]bool{}
	enough := func() bool { return known.Core.Quorum(agreed) && next.Core.Quorum(agreed) }
	askSeats(ctx, p, seats, p.kinds[1], func(s Seat) any { return &acceptCall{Seat: s.ID, Ballot: ballot, State: next} }, func(a callOut[acceptAnswer]) bool {
		if a.err != nil {
			return false
		}
		p.highest = max(p.highest, a.out.Promised.N)
		if a.out.OK {
			agreed[a.seat.ID] = true
		}
		return enough()
	})
	return enough()
}
