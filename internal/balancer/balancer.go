// Package balancer picks the worker for a request: by load, zone and the
// prompt parts it is likely to keep (design 7). Requests call it from their
// own goroutines, so its one table is guarded by a short critical section in
// place of a command queue (design 1.5).
package balancer

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"

	"rowanshunt/internal/discovery"
	"rowanshunt/internal/eventloop"
)

// Figures of the choice (design 7.2); all are the project's own.
const (
	readToksPerMs  = 100.0     // assumed speed of reading prompts
	keptUs         = 8_000_000 // how long a part sent is thought kept
	ejectUs        = int64(1_000_000)
	maxEjectUs     = int64(4_000_000)
	freshUs        = 1_500_000
	itemSpare      = 1.2 // times the root of a worker's slots is left to live work
	maxKept        = 8192
	farZoneMs      = 0.6
	fullMs         = 40.0
	bigSharedToks  = 2000
	suspectAfterUs = 3_000_000
	fewEdges       = 16
	maxTold        = 256
	choices        = 2 // workers drawn for a choice where many nodes choose
)

// Part is one part of a prompt.
type Part struct {
	ID   string
	Toks int64
}

// ParseParts reads X-Rowanshunt-Prompt-Prefix; what cannot be read is left out.
func ParseParts(head string) []Part {
	if head == "" {
		return nil
	}
	var out []Part
	for _, s := range strings.Split(head, ",") {
		id, toks, ok := strings.Cut(strings.TrimSpace(s), ":")
		if !ok || id == "" || len(out) >= 64 {
			continue
		}
		n, err := strconv.ParseInt(toks, 10, 64)
		if err != nil || n < 0 || n > 1<<32 {
			continue
		}
		out = append(out, Part{ID: id, Toks: n})
	}
	return out
}

// Need is what a request asks of a worker.
type Need struct {
	Svc     string
	Parts   []Part
	Exclude []string // workers already tried
	Item    bool     // of a lot: only into the room live work leaves
	Version int64    // weights it must have, 0 for any
}

type state struct {
	slots     int64
	running   int64
	waiting   int64
	heardUs   int64
	since     int64 // own sends less own ends since then
	inflight  int64
	items     int64
	reading   int64 // prompt tokens sent whose first event is not here yet
	ejectedUs int64 // until then
	fails     int64
	failUs    int64
	noRoomUs  int64 // told it was full, until then
	firstUs   int64 // when this node first picked among it
	atFirst   bool  // the load was told to this node itself
	verdict
}

// Balancer owns what this node knows of each worker's load.
type Balancer struct {
	mu      sync.Mutex
	az      string
	workers map[string]*state
	kept    map[keptKey]int64
	// edge nodes is how many nodes send to the workers.
	edges int64
	// dispatchers is how many of them run items.
	dispatchers int64
	upgrades    Upgrading
	groups      map[groupKey]*group
	fared       map[string]*fare
	usualUs     map[string]float64 // by service: the usual wait for a head
}

type keptKey struct{ part, worker string }

// New makes a balancer for a node in zone az.
func New(az string) *Balancer {
	return &Balancer{az: az, workers: map[string]*state{}, kept: map[keptKey]int64{}, edges: 1, dispatchers: 1, groups: map[groupKey]*group{}, fared: map[string]*fare{}, usualUs: map[string]float64{}}
}

// SetEdges tells how many nodes share the workers.
func (s *Balancer) SetEdges(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.edges = int64(max(n, 1))
}

// SetDispatchers tells how many nodes share the workers' room for items.
func (s *Balancer) SetDispatchers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchers = int64(max(n, 1))
}

// Edges is how many nodes share the workers.
func (s *Balancer) Edges() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.edges
}

// Keep forgets workers that are no longer in the directory.
func (s *Balancer) Keep(d *discovery.Directory) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range s.workers {
		if d.ByID[id] == nil && w.inflight == 0 {
			delete(s.workers, id)
		}
	}
}

func (s *Balancer) of(w *discovery.Worker) *state {
	st := s.workers[w.ID]
	if st == nil {
		st = &state{slots: max(w.Slots, 1), firstUs: eventloop.NowUs(), verdict: verdict{svc: w.Svc}}
		s.workers[w.ID] = st
	}
	return st
}

func (st *state) est(nowUs int64) float64 {
	if nowUs-st.heardUs > freshUs {
		return float64(st.inflight)
	}
	return max(float64(st.running+st.waiting+st.since), float64(st.inflight))
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

// itemSlots is how far items may fill a worker: live requests come by chance,
// so the room they need beside their mean grows with the root of its size.
func (st *state) itemSlots() float64 {
	slots := float64(st.slots)
	return max(slots-itemSpare*math.Sqrt(slots), slots/2)
}

func (s *Balancer) itemRoom(st *state, nowUs int64) bool {
	room := st.itemSlots()
	if st.est(nowUs)+1 > room {
		return false
	}
	if nowUs-st.heardUs < freshUs && st.waiting > 0 {
		return false
	}
	share := int64(room)/s.dispatchers + 1
	return st.items < share
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

// Reading tells that the worker has tokens of a prompt to read (or, negative,
// that it has read them).
func (s *Balancer) Reading(id string, toks int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.workers[id]; st != nil {
		st.reading = max(st.reading+toks, 0)
	}
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

// ItemRoom is how many more items this node may send to a service's workers.
func (s *Balancer) ItemRoom(d *discovery.Directory, svc string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	nowUs := eventloop.NowUs()
	room := 0
	for _, w := range d.BySvc[svc] {
		st := s.of(w)
		if s.upgrades.Out[w.ID] || nowUs < st.ejectedUs || nowUs < st.outUs || st.trial(nowUs) || nowUs < st.noRoomUs || !s.itemRoom(st, nowUs) {
			continue
		}
		free := st.itemSlots() - st.est(nowUs)
		share := int64(st.itemSlots())/s.dispatchers + 1 - st.items
		room += int(min(int64(free), share))
	}
	return room
}
