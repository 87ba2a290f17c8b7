// Package swarm is how nodes know each other: partial views that are shuffled
// between neighbours, and the age of what was last heard of each (design 3).
// The field's standard terms: swarm = membership (gossip); sighting = member
// state; view = snapshot; life = incarnation.
package swarm

import (
	"context"
	"math/rand/v2"
	"sort"
	"strconv"
	"sync/atomic"
	"time"

	"rowanshunt/internal/pollen"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
)

// Partner is what a node tells of itself.
type Partner struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library
	Name     string
	Addr     string // partner protocol
	Ctl      string // workers and operators, "" if not served
	Az       string
	Role     string
	Disk     string // incarnation of its disk, "" without one
	Boot     bool   // first start of the whole system, disk found empty
	Leaving  bool
	LifeUs   int64  // wall time of its start: a later life wins
	Beat     uint64 // grows as it lives
	Rev      uint64 // newest register revision it knows
	Ready    bool
}

// Seat names the partner together with its disk.
func (p *Partner) Seat() string { return p.Name + "#" + p.Disk }

// Life names the partner together with its life: what ballots, stamps and terms
// are signed with.
func (p *Partner) Life() string { return p.Name + "/" + strconv.FormatInt(p.LifeUs, 10) }

func (p *Partner) newer(q *Partner) bool {
	return p.LifeUs > q.LifeUs || p.LifeUs == q.LifeUs && p.Beat > q.Beat
}

// Bounds of the view (design 3.2).
const (
	maxView    = 512
	maxShuffle = 48
	shuffleUs  = 200_000
	aliveUs    = 1_300_000
	metUs      = 800_000
	forgetUs   = 60_000_000
)

// Sighting is a partner with what this node knows of its life.
type Sighting struct {
	Partner
	Alive   bool
	SeenUs  int64 // when it last moved, steady clock of this node
	MetUs   int64 // when it last answered this node itself
	SinceUs int64 // when Alive last changed
}

// View is what a node knows at one moment; it is never changed.
type View struct {
	Self Partner
	All  []Sighting // by name, this node included
}

// Get finds a sighting by name.
func (v *View) Get(name string) *Sighting {
	for i := range v.All {
		if v.All[i].Name == name {
			return &v.All[i]
		}
	}
	return nil
}

// Met tells whether the partner lives and answered this node itself lately:
// others may still hear of one that is cut off from here.
func (v *View) Met(name string) bool {
	s := v.Get(name)
	return s != nil && s.Alive && (name == v.Self.Name || waggle.NowUs()-s.MetUs < metUs)
}

// Names lists those that keep holds.
func (v *View) Names(keep func(*Sighting) bool) []string {
	var out []string
	for i := range v.All {
		if keep(&v.All[i]) {
			out = append(out, v.All[i].Name)
		}
	}
	return out
}

// Alive tells whether that partner is thought to live.
func (v *View) Alive(name string) bool {
	s := v.Get(name)
	return s != nil && s.Alive
}

// Swarm owns this node's table of partners.
type Swarm struct {
	floor *waggle.Floor
	mesh  pollen.Mesh
	log   *wax.Log
	seeds []string
	// close are shuffled with each round, besides a random one.
	close func(*View) []string

	self  Partner
	table map[string]*Sighting
	view  atomic.Pointer[View]
	rng   *rand.Rand
	// OnRev is told of a partner that knows a newer register revision.
	OnRev func(p Partner)
	ctx   context.Context
}

type shuffle struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library
	From     Partner
	Some     []Partner
}

// New makes the swarm of one node. Everything but Look runs on the floor.
func New(ctx context.Context, floor *waggle.Floor, desk *pollen.Desk, mesh pollen.Mesh, log *wax.Log, self Partner, seeds []string, close func(*View) []string) *Swarm {
	s := &Swarm{floor: floor, mesh: mesh, log: log, seeds: seeds, close: close, self: self, table: map[string]*Sighting{}, ctx: ctx,
		rng: rand.New(rand.NewPCG(uint64(self.LifeUs), uint64(len(self.Name)+1)))}
	s.publish()
	pollen.On(desk, "swarm.shuffle", func(ctx context.Context, in *shuffle) (*shuffle, error) {
		return waggle.Ask(ctx, floor, func() *shuffle {
			s.merge(in)
			return s.sample()
		})
	})
	floor.Every(shuffleUs, s.round)
	return s
}

// Look gives the newest view; any goroutine may call it.
func (s *Swarm) Look() *View { return s.view.Load() }

// Tell changes what this node says of itself.
func (s *Swarm) Tell(change func(p *Partner)) {
	change(&s.self)
	s.publish()
}

// SetSeeds takes the seeds of new options.
func (s *Swarm) SetSeeds(seeds []string) { s.seeds = seeds }

func (s *Swarm) sample() *shuffle {
	out := &shuffle{From: s.self}
	nowUs := waggle.NowUs()
	var live []*Sighting
	for _, t := range s.table {
		if nowUs-t.SeenUs < 3*aliveUs {
			live = append(live, t)
		}
	}
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, t := range live[:min(len(live), maxShuffle)] {
		out.Some = append(out.Some, t.Partner)
	}
	return out
}

func (s *Swarm) merge(in *shuffle) {
	if len(in.Some) > 4*maxShuffle {
		in.Some = in.Some[:4*maxShuffle]
	}
	s.take(in.From)
	for _, p := range in.Some {
		s.take(p)
	}
}

func (s *Swarm) take(p Partner) {
	if p.Name == "" || p.Addr == "" || p.Name == s.self.Name {
		return
	}
	nowUs := waggle.NowUs()
	t := s.table[p.Name]
	switch {
	case t == nil:
		if len(s.table) >= maxView && !s.evict() {
			return
		}
		t = &Sighting{Partner: p, SinceUs: nowUs}
		s.table[p.Name] = t
		s.log.Debug("partner_found", "partner", p.Name, "addr", p.Addr)
	case p.newer(&t.Partner):
		t.Partner = p
	default:
		return
	}
	t.SeenUs = nowUs
	if s.OnRev != nil && p.Rev > s.self.Rev {
		s.OnRev(p)
	}
}

// evict forgets the partner unheard of for longest, if it is not alive.
func (s *Swarm) evict() bool {
	var oldest *Sighting
	for _, t := range s.table {
		if oldest == nil || t.SeenUs < oldest.SeenUs {
			oldest = t
		}
	}
	if oldest == nil || waggle.NowUs()-oldest.SeenUs < aliveUs {
		return false
	}
	delete(s.table, oldest.Name)
	return true
}

func (s *Swarm) round() {
	s.self.Beat++
	s.publish()
	v := s.Look()
	targets := map[string]bool{}
	live := v.Names(func(t *Sighting) bool { return t.Alive && t.Name != s.self.Name })
	if len(live) > 0 {
		targets[v.Get(live[s.rng.IntN(len(live))]).Addr] = true
	}
	if s.close != nil {
		for _, name := range s.close(v) {
			if t := v.Get(name); t != nil && name != s.self.Name {
				targets[t.Addr] = true
			}
		}
	}
	// Seeds are asked while few are known, and now and then later, so that
	// parts that lost sight of each other meet again (design 3.3).
	if (len(live) < 3 || s.rng.IntN(25) == 0) && len(s.seeds) > 0 {
		targets[s.seeds[s.rng.IntN(len(s.seeds))]] = true
	}
	if s.rng.IntN(10) == 0 {
		if lost := v.Names(func(t *Sighting) bool { return !t.Alive }); len(lost) > 0 {
			targets[v.Get(lost[s.rng.IntN(len(lost))]).Addr] = true
		}
	}
	msg := s.sample()
	for addr := range targets {
		if addr == s.self.Addr {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(s.ctx, 600*time.Millisecond)
			defer cancel()
			var back shuffle
			err := s.mesh.Call(ctx, addr, "swarm.shuffle", msg, &back)
			_ = s.floor.Do(s.ctx, func() { s.called(addr, &back, err) })
		}()
	}
}

// called notes how a shuffle with a partner went. A port that declines at once
// has no process behind it.
func (s *Swarm) called(addr string, back *shuffle, err error) {
	if err == nil {
		s.merge(back)
		if t := s.table[back.From.Name]; t != nil {
			t.MetUs = waggle.NowUs()
		}
		return
	}
	if wax.Is(err, wax.Unreached) {
		for _, t := range s.table {
			if t.Addr == addr {
				t.MetUs = 0
			}
		}
	}
}

func (s *Swarm) publish() {
	nowUs := waggle.NowUs()
	v := &View{Self: s.self, All: make([]Sighting, 0, len(s.table)+1)}
	for name, t := range s.table {
		alive := nowUs-t.SeenUs < aliveUs
		if alive != t.Alive {
			t.Alive, t.SinceUs = alive, nowUs
			if !alive {
				s.log.Info("partner_silent", "partner", name, "addr", t.Addr)
			} else {
				s.log.Info("partner_alive", "partner", name, "addr", t.Addr, "role", t.Role)
			}
		}
		if nowUs-t.SeenUs > forgetUs {
			delete(s.table, name)
			continue
		}
		v.All = append(v.All, *t)
	}
	v.All = append(v.All, Sighting{Partner: s.self, Alive: true, SeenUs: nowUs})
	sort.Slice(v.All, func(i, j int) bool { return v.All[i].Name < v.All[j].Name })
	s.view.Store(v)
}
