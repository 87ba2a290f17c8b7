package nest

import (
	"context"
	"slices"
	"sort"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/swarm"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
)

func (n *Nest) firstAlive(seats []Seat, v *swarm.View) string {
	for _, s := range seats {
		if v.Alive(s.Name) {
			return s.Name
		}
	}
	return ""
}

// found settles the first roster in the founding register of the seeds
// (design 4.3).
func (n *Nest) found(ctx context.Context) {
	var first []Seat
	for _, p := range n.cfg.Swarm.Look().All {
		if p.Alive && p.Boot && p.Disk != "" && p.Role == n.cfg.Self.Role {
			first = append(first, SeatOf(&p.Partner))
		}
	}
	sort.Slice(first, func(i, j int) bool { return first[i].ID < first[j].ID })
	if len(first) > maxSeats {
		first = first[:maxSeats]
	}
	doc, err := msgpack.Marshal(&State{Rev: 1, Core: Roster{Ver: 1, Cur: first}})
	if err != nil {
		return
	}
	var seeds []Seat
	for _, a := range n.cfg.Seeds {
		seeds = append(seeds, Seat{ID: "founding@" + a, Addr: a})
	}
	empty := &State{Core: Roster{Cur: seeds}}
	p := NewProposer(n.cfg.Proposer, n.cfg.Mesh, func(s Seat) string { return s.Addr }, func() (*State, bool) { return empty, true }, func(*State) {})
	p.kinds = [2]string{"nest.found.prepare", "nest.found.accept"}
	chosen, err := p.Change(ctx, func(now *State) (*State, error) {
		if len(now.Doc) > 0 {
			return nil, nil
		}
		now.Doc = doc
		return now, nil
	})
	if err != nil {
		n.cfg.Log.Warn("founding_unsettled", "err", err)
		return
	}
	s := &State{}
	if err := msgpack.Unmarshal(chosen.Doc, s); err != nil {
		n.cfg.Log.Warn("founding_unreadable", "err", err)
		return
	}
	n.cfg.Log.Info("founded", "seats", len(s.Core.Cur))
	n.Learn(s)
	n.spread(s)
}

// NextSeats is the roster that takes self in: in the place of an earlier
// incarnation of its disk, of a member that does not answer it, or beside the
// others; nil while it is too early to tell, or if there is no room.
func NextSeats(r *Roster, self Seat, v *swarm.View, upUs int64, most int) []Seat {
	next := slices.Clone(r.Cur)
	for i, s := range next {
		if s.Name == self.Name {
			next[i] = self
			return next
		}
	}
	for i, s := range next {
		if p := v.Get(s.Name); p != nil && v.Met(s.Name) && p.Seat() == s.ID {
			continue
		}
		// What others tell of a member that died just now is old news.
		if upUs < judgeUs {
			return nil
		}
		next[i] = self
		return next
	}
	if len(next) < most {
		return append(next, self)
	}
	return nil
}

// Gone tells whether the seat's holder has been silent for so long, or now has
// another disk.
func Gone(s Seat, v *swarm.View, forUs, upUs int64) bool {
	p := v.Get(s.Name)
	if p == nil {
		return upUs > neverSeenUs+forUs
	}
	if p.Alive {
		return p.Seat() != s.ID
	}
	return waggle.NowUs()-p.SinceUs > forUs
}

// join brings this node's seat into the roster.
func (n *Nest) join(ctx context.Context) {
	self := SeatOf(&n.cfg.Self)
	for ctx.Err() == nil {
		s, err := n.Change(ctx, func(now *State) (*State, error) {
			if now.Core.Joint() {
				now.Core = now.Core.Settle()
				return now, nil
			}
			if now.Core.Has(self.ID) {
				return nil, nil
			}
			next := NextSeats(&now.Core, self, n.cfg.Swarm.Look(), waggle.NowUs()-n.startUs, maxSeats)
			if next == nil {
				return nil, wax.New(wax.Declined, "core", "is full, or it is too early to tell who is there", "nothing to do")
			}
			now.Core = now.Core.Begin(next)
			return now, nil
		})
		if err != nil {
			n.cfg.Log.Debug("core_join_waits", "err", err)
			return
		}
		if s.Core.Has(self.ID) && !s.Core.Joint() {
			n.cfg.Log.Info("core_joined", "seat", self.ID, "roster", s.Core.Ver, "seats", len(s.Core.Cur))
			return
		}
	}
}

// outworn is a member long gone that the roster can do without.
func (n *Nest) outworn(seats []Seat, v *swarm.View) string {
	if len(seats) <= 2*n.cfg.Spared+1 {
		return ""
	}
	for _, s := range seats {
		if Gone(s, v, GoneForDropUs, waggle.NowUs()-n.startUs) {
			return s.ID
		}
	}
	return ""
}

// tidy settles a change that its driver left, and drops members long gone.
func (n *Nest) tidy(ctx context.Context) {
	_, err := n.Change(ctx, func(now *State) (*State, error) {
		if now.Core.Joint() {
			now.Core = now.Core.Settle()
			return now, nil
		}
		if id := n.outworn(now.Core.Cur, n.cfg.Swarm.Look()); id != "" {
			now.Core = now.Core.Begin(slices.DeleteFunc(slices.Clone(now.Core.Cur), func(s Seat) bool { return s.ID == id }))
			return now, nil
		}
		return nil, nil
	})
	if err != nil {
		n.cfg.Log.Debug("core_tidy_waits", "err", err)
	}
}
