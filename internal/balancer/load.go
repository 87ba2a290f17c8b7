package balancer

import (
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/eventloop"
)

// The table of loads: what workers, their answers and peers tell.

// Figures of what is known of a load.
const (
	freshUs        = 1_500_000
	ejectUs        = int64(1_000_000)
	maxEjectUs     = int64(4_000_000)
	suspectAfterUs = 3_000_000
	maxTold        = 256
)

// Reading tells that the worker has tokens of a prompt to read (or, negative,
// that it has read them).
func (s *Balancer) Reading(id string, toks int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.workers[id]; st != nil {
		st.reading = max(st.reading+toks, 0)
	}
}

// Heard takes the load that a worker's answer told.
func (s *Balancer) Heard(id string, running, waiting, slots int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.workers[id]; st != nil {
		st.running, st.waiting, st.heardUs, st.since = running, waiting, eventloop.NowUs(), 0
		st.atFirst = true
		if slots > 0 {
			st.slots = slots
		}
		st.fails = 0
		st.ejectedUs = 0
	}
}

// Loads lists what was heard lately, for peers: what the workers told
// this node itself, or all it knows.
func (s *Balancer) Loads(all bool) []discovery.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	nowUs := eventloop.NowUs()
	var out []discovery.Load
	for id, st := range s.workers {
		p := discovery.Load{ID: id, Running: st.running, Waiting: st.waiting, Slots: st.slots, AgeUs: nowUs - st.heardUs}
		s.blame(&p, st, all, nowUs)
		fresh := st.heardUs > 0 && p.AgeUs < freshUs && (all || st.atFirst)
		if !fresh {
			p.AgeUs = -1
		}
		if (fresh || p.Bad > 0) && len(out) < maxTold {
			out = append(out, p)
		}
	}
	return out
}

// Hear takes what a peer heard, where it is newer.
func (s *Balancer) Hear(from string, ps []discovery.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	nowUs := eventloop.NowUs()
	for i := range ps {
		p := &ps[i]
		st := s.workers[p.ID]
		if st == nil {
			continue
		}
		s.hinted(from, p, st, nowUs)
		if p.AgeUs < 0 || nowUs-p.AgeUs <= st.heardUs+50_000 {
			continue
		}
		st.running, st.waiting, st.heardUs, st.since, st.atFirst = p.Running, p.Waiting, nowUs-p.AgeUs, 0, false
		if p.Slots > 0 {
			st.slots = p.Slots
		}
	}
}

// Full tells that the worker turned a request away for want of room.
func (s *Balancer) Full(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.workers[id]; st != nil {
		st.noRoomUs = eventloop.NowUs() + 150_000
	}
}

// Failed tells that the worker could not be reached or broke off: it is left
// out for a growing time.
func (s *Balancer) Failed(id string, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.workers[id]
	if st == nil {
		return
	}
	nowUs := eventloop.NowUs()
	st.fails++
	st.failUs = nowUs
	if unreachable || st.fails >= 3 {
		st.ejectedUs = nowUs + min(ejectUs<<min(st.fails-1, 3), maxEjectUs)
	}
}

// Suspect tells whether the worker could lately not be reached.
func (s *Balancer) Suspect(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.workers[id]
	nowUs := eventloop.NowUs()
	return st != nil && (st.fails > 0 && nowUs-st.failUs < suspectAfterUs || nowUs < st.outUs)
}

// Fullness is the least share of slots taken at any worker of the service, -1
// without workers.
func (s *Balancer) Fullness(d *discovery.Directory, svc string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	nowUs := eventloop.NowUs()
	least := -1.0
	for _, w := range d.BySvc[svc] {
		st := s.of(w)
		if nowUs < st.ejectedUs {
			continue
		}
		if f := st.est(nowUs) / float64(st.slots); least < 0 || f < least {
			least = f
		}
	}
	return least
}
