package balancer

import (
	"math/rand/v2"

	"rowanshunt/internal/discovery"
	"rowanshunt/internal/eventloop"
)

// The choice of a worker (design 7.2).

// Figures of the choice (design 7.2); all are the project's own.
const (
	readToksPerMs = 100.0     // assumed speed of reading prompts
	keptUs        = 8_000_000 // how long a part sent is thought kept
	maxKept       = 8192
	farZoneMs     = 0.6
	fullMs        = 40.0
	bigSharedToks = 2000
	fewEdges      = 16
	choices       = 2 // workers drawn for a choice where many nodes choose
)

// Need is what a request asks of a worker.
type Need struct {
	Svc     string
	Parts   []Part
	Exclude []string // workers already tried
	Item    bool     // of a lot: only into the room live work leaves
	Version int64    // weights it must have, 0 for any
}

// Pick chooses a worker and counts the request there; nil if none will do.
// Done must be called for each worker picked.
func (s *Balancer) Pick(d *discovery.Directory, n *Need) *discovery.Worker {
	ws := d.BySvc[n.Svc]
	if len(ws) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	nowUs := eventloop.NowUs()
	var sharedToks int64
	key := ""
	if len(n.Parts) > 1 {
		for _, p := range n.Parts[:len(n.Parts)-1] {
			sharedToks += p.Toks
		}
		key = n.Parts[0].ID
		if sharedToks >= bigSharedToks {
			key = n.Parts[len(n.Parts)-2].ID
		}
	}
	first, second := "", ""
	var homes []string // while an upgrade spreads groups: as many as it asks
	if key != "" {
		var w1, w2 uint64
		for _, w := range ws {
			if s.upgrades.Out[w.ID] {
				continue
			}
			switch x := s.weight(key, w); {
			case first == "" || x > w1:
				first, w1, second, w2 = w.ID, x, first, w1
			case second == "" || x > w2:
				second, w2 = w.ID, x
			}
		}
		if n := s.upgrades.Spread[n.Svc]; n > 1 {
			homes = s.homes(key, ws, n)
		}
	}
	var best *discovery.Worker
	var bestCost float64
	sampled := s.sample(ws, first, second, homes)
	for pass := 0; pass < 3 && best == nil; pass++ {
		among := sampled
		if pass > 0 {
			among = ws // none of those drawn will do
		}
		for _, w := range among {
			if contains(n.Exclude, w.ID) || s.upgrades.Out[w.ID] {
				continue
			}
			if n.Version > 0 && !hasVersion(w, n.Version) {
				continue
			}
			st := s.of(w)
			if (nowUs < st.ejectedUs || nowUs < st.outUs) && pass < 2 {
				continue
			}
			if n.Item && (nowUs < st.ejectedUs || nowUs < st.outUs || st.trial(nowUs) || nowUs < st.noRoomUs || !s.itemRoom(st, nowUs)) {
				continue
			}
			if pass == 0 && w.ID != first && s.warming(w, st, nowUs) {
				continue
			}
			c := s.cost(w, st, n, nowUs, sharedToks, first, second, homes)
			if best == nil || c < bestCost {
				best, bestCost = w, c
			}
		}
	}
	if best == nil {
		return nil
	}
	st := s.of(best)
	st.inflight++
	st.since++
	if n.Item {
		st.items++
	}
	if len(n.Parts) > 0 {
		s.noteGroup(n.Svc, n.Parts[0].ID, best.ID, nowUs)
	}
	for _, p := range n.Parts {
		if p.Toks >= 32 {
			s.remember(keptKey{p.ID, best.ID}, nowUs)
		}
	}
	return best
}

// sample draws the workers that a choice looks at. What a node knows of a
// worker is up to half a second old, and what the other nodes sent meanwhile is
// not in it: if all of them took the least loaded of all, it would be flooded.
// With few nodes, a node sees most of it itself and looks at all; with many, at
// a few drawn by lot and at those that keep the prompt's shared parts
// (design 7.2).
func (s *Balancer) sample(ws []*discovery.Worker, first, second string, homes []string) []*discovery.Worker {
	if s.edges <= fewEdges || len(ws) <= choices {
		return ws
	}
	out := make([]*discovery.Worker, 0, choices+2+len(homes))
	if first != "" {
		for _, w := range ws {
			if w.ID == first || w.ID == second || contains(homes, w.ID) {
				out = append(out, w)
			}
		}
	}
	for range choices {
		out = append(out, ws[rand.IntN(len(ws))])
	}
	return out
}

func (s *Balancer) cost(w *discovery.Worker, st *state, n *Need, nowUs, sharedToks int64, first, second string, homes []string) float64 {
	est, slots := st.est(nowUs), float64(st.slots)
	c := 4*est/slots + rand.Float64()*0.3
	if est >= slots {
		c += fullMs * (est - slots + 1) / slots * 4
	}
	if nowUs-st.heardUs < freshUs {
		c += fullMs * float64(st.waiting) / slots
	}
	if nowUs < st.noRoomUs {
		c += fullMs
	}
	if st.trial(nowUs) {
		c += trialMs
	}
	if w.Az != s.az {
		c += farZoneMs
	}
	if w.WarmLeftMs > 0 {
		c += 5
	}
	c += float64(st.reading) / readToksPerMs
	if sharedToks > 0 {
		miss := 0.0
		if w.ID != first && !contains(homes, w.ID) {
			for _, p := range n.Parts[:len(n.Parts)-1] {
				if at, ok := s.kept[keptKey{p.ID, w.ID}]; !ok || nowUs-at > keptUs {
					miss += float64(p.Toks)
				}
			}
			if w.ID == second {
				miss /= 2
			}
		}
		c += miss / readToksPerMs
	}
	return c
}

func (s *Balancer) remember(k keptKey, nowUs int64) {
	if len(s.kept) >= maxKept {
		for old, at := range s.kept {
			if nowUs-at > keptUs || len(s.kept) >= maxKept {
				delete(s.kept, old)
			}
			if len(s.kept) < maxKept*3/4 {
				break
			}
		}
	}
	s.kept[k] = nowUs
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func hasVersion(w *discovery.Worker, ver int64) bool {
	for _, m := range w.Models {
		if m.Ver == ver {
			return true
		}
	}
	return len(w.Models) == 0
}

// Done ends what Pick counted.
func (s *Balancer) Done(id string, item bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.workers[id]; st != nil {
		st.inflight--
		st.since--
		if item {
			st.items--
		}
	}
}
