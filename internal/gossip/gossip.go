// Package gossip is how nodes know each other: partial views that are shuffled
// between neighbours, and the age of what was last heard of each (design 3).
package gossip

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rendezvous"
	"rowanshunt/internal/rpc"
)

// Peer is what a node tells of itself.
type Peer struct {
	Name    string
	Addr    string // peer protocol
	Ctl     string // workers and operators, "" if not served
	Az      string
	Role    string
	Disk    string // incarnation of its disk, "" without one
	Boot    bool   // first start of the whole system, disk found empty
	Leaving bool
	// LifeUs orders the records of one node (design 3.5). Of the version before
	// it is the time of day at which the process started, in microseconds.
	LifeUs    Incarnation
	Heartbeat uint64 // grows as it lives
	Rev       uint64 // newest register revision it knows
	Ready     bool
	Cap       int64 // processor, in thousandths of a core
	Slow      bool  // its own event loop runs late (design 8.2)

	process string // of this node itself: the random id of its process
}

// MemberID names the peer together with its disk.
func (p *Peer) MemberID() string { return p.Name + "#" + p.Disk }

func (p *Peer) newer(q *Peer) bool {
	return p.LifeUs > q.LifeUs || p.LifeUs == q.LifeUs && p.Heartbeat > q.Heartbeat
}

// Bounds of the view (design 3.2).
const (
	maxView    = 512
	maxShuffle = 64
	maxStale   = 4096
	shuffleUs  = 200_000
	aliveUs    = 1_300_000
	metUs      = 800_000
	forgetUs   = 60_000_000
	seedRounds = 25
	// wellNamed is how many peers shuffles name often enough for aliveUs.
	wellNamed = 96
)

// NodeState is a peer with what this node knows of its life.
type NodeState struct {
	Peer
	Alive   bool
	SeenUs  int64 // when it last moved, steady clock of this node
	MetUs   int64 // when it last answered this node itself
	SinceUs int64 // when Alive last changed
	key     uint64
}

// View is what a node knows at one moment; it is never changed.
type View struct {
	Self Peer
	All  []NodeState // by name, this node included
}

// Get finds a node state by name.
func (v *View) Get(name string) *NodeState {
	i := sort.Search(len(v.All), func(i int) bool { return v.All[i].Name >= name })
	if i < len(v.All) && v.All[i].Name == name {
		return &v.All[i]
	}
	return nil
}

// minStrong is the least number of nodes that duties are left to.
const minStrong = 4

// Strong lists the living nodes of a role that have at least half of the
// processor of the largest of them: what grows with the whole system (homes,
// dispatching) is theirs, so that small machines are left to their own traffic.
// Where these are few, duties fall to all nodes of the role (design 3.4).
func (v *View) Strong(role string) []*NodeState {
	var all []*NodeState
	most := int64(0)
	for i := range v.All {
		if s := &v.All[i]; s.Alive && s.Role == role && !s.Leaving {
			all = append(all, s)
			most = max(most, s.Cap)
		}
	}
	var strong []*NodeState
	for _, s := range all {
		if 2*s.Cap >= most {
			strong = append(strong, s)
		}
	}
	if len(strong) < minStrong {
		return all
	}
	return strong
}

// Chosen are the names of at most so many strong nodes of a role for a duty, the
// first of its rendezvous rank: a duty that a few can carry is not everybody's
// in a large system.
func (v *View) Chosen(role, duty string, most int) []string {
	strong := v.Strong(role)
	names := make([]string, len(strong))
	for i, s := range strong {
		names[i] = s.Name
	}
	if len(names) <= most {
		return names
	}
	return rendezvous.Rank(duty, names)[:most]
}

// Partial tells whether there may be nodes that the view has no room for.
func (v *View) Partial() bool { return len(v.All) >= maxView }

// Met tells whether the peer lives and answered this node itself lately:
// others may still hear of one that is cut off from here.
func (v *View) Met(name string) bool {
	s := v.Get(name)
	return s != nil && s.Alive && (name == v.Self.Name || eventloop.NowUs()-s.MetUs < metUs)
}

// Slow tells whether the peer says that its event loop runs late.
func (v *View) Slow(name string) bool {
	s := v.Get(name)
	return s != nil && s.Slow
}

// Names lists those that keep holds.
func (v *View) Names(keep func(*NodeState) bool) []string {
	var out []string
	for i := range v.All {
		if keep(&v.All[i]) {
			out = append(out, v.All[i].Name)
		}
	}
	return out
}

// Alive tells whether that peer is thought to live.
func (v *View) Alive(name string) bool {
	s := v.Get(name)
	return s != nil && s.Alive
}

// Gossip owns this node's table of peers.
type Gossip struct {
	loop      *eventloop.Loop
	transport rpc.Transport
	log       *logging.Log
	seeds     []string
	// close are shuffled with each round, besides a random one.
	close func(*View) []string

	self  Peer
	table map[string]*NodeState
	byKey map[uint64]string // keys of the table
	stale map[uint64]bool   // keys that newer words replaced: not asked for again
	view  atomic.Pointer[View]
	rng   *rand.Rand
	// OnRev is told of a peer that knows a newer register revision.
	OnRev func(p Peer)
	ctx   context.Context
}

type shuffle struct {
	From  Peer
	Words []byte   // of some others
	Want  []uint64 // keys the sender cannot read
	Full  []Peer   // what the other side wanted
	Ping  bool     // only the answer matters
}

// New makes the gossip of one node. Everything but Look runs on the event loop.
func New(ctx context.Context, loop *eventloop.Loop, mux *rpc.Mux, transport rpc.Transport, log *logging.Log, self Peer, seeds []string, close func(*View) []string) *Gossip {
	s := &Gossip{loop: loop, transport: transport, log: log, seeds: seeds, close: close, self: self, table: map[string]*NodeState{}, byKey: map[uint64]string{}, stale: map[uint64]bool{}, ctx: ctx,
		rng: rand.New(rand.NewPCG(xxh3.HashString(self.Life()), uint64(len(self.Name)+1)))}
	s.publish()
	rpc.On(mux, "swarm.shuffle", func(ctx context.Context, in *shuffle) (*shuffle, error) {
		return eventloop.Ask(ctx, loop, func() *shuffle {
			want := s.merge(in)
			out := &shuffle{From: s.self, Full: append(s.lookUp(in.Want), s.contradict(&in.From)...)}
			if !in.Ping && len(in.Full) == 0 && len(in.Want) == 0 {
				out.Words, out.Want = s.sample(), want
			}
			return out
		})
	})
	loop.Every(shuffleUs, s.round)
	return s
}

// Look gives the newest view; any goroutine may call it.
func (s *Gossip) Look() *View { return s.view.Load() }

// Tell changes what this node says of itself.
func (s *Gossip) Tell(change func(p *Peer)) {
	change(&s.self)
	s.self.Heartbeat++
	s.publish()
}

// SetSeeds takes the seeds of new options.
func (s *Gossip) SetSeeds(seeds []string) { s.seeds = seeds }

func (s *Gossip) sample() []byte {
	nowUs := eventloop.NowUs()
	var live []*NodeState
	for _, t := range s.table {
		if nowUs-t.SeenUs < 3*silentUs(len(s.table)) {
			live = append(live, t)
		}
	}
	// What was heard last goes first, for it is news to most; among equals by lot.
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(a, b *NodeState) int { return cmp.Compare(b.SeenUs, a.SeenUs) })
	var out []word
	for _, t := range live[:min(len(live), maxShuffle)] {
		out = append(out, word{t.key, t.Heartbeat, t.Rev})
	}
	return packWords(out)
}

// lookUp gives the peers of these keys, as far as they are known here.
func (s *Gossip) lookUp(keys []uint64) []Peer {
	var out []Peer
	for _, k := range keys[:min(len(keys), maxShuffle)] {
		if t := s.table[s.byKey[k]]; t != nil {
			out = append(out, t.Peer)
		}
	}
	return out
}

// merge takes what a peer told and lists the keys it cannot read.
func (s *Gossip) merge(in *shuffle) (want []uint64) {
	s.take(in.From)
	for _, p := range in.Full[:min(len(in.Full), 4*maxShuffle)] {
		s.take(p)
	}
	nowUs, own := eventloop.NowUs(), s.self.key()
	for _, w := range unpackWords(in.Words) {
		t := s.table[s.byKey[w.key]]
		switch {
		case t != nil && w.heartbeat > t.Heartbeat:
			t.Heartbeat, t.Rev, t.SeenUs = w.heartbeat, max(t.Rev, w.rev), nowUs
			if s.OnRev != nil && t.Rev > s.self.Rev {
				s.OnRev(t.Peer)
			}
		case t == nil && w.key != own && !s.stale[w.key] && len(want) < maxShuffle:
			want = append(want, w.key)
		}
	}
	return want
}

// replaced notes that a key will not be true again.
func (s *Gossip) replaced(key uint64) {
	if len(s.stale) >= maxStale {
		clear(s.stale)
	}
	s.stale[key] = true
}

func (s *Gossip) take(p Peer) {
	if p.Name == s.self.Name {
		s.refute(&p)
		return
	}
	if p.Name == "" || p.Addr == "" || p.LifeUs >= maxIncarnation {
		return
	}
	nowUs := eventloop.NowUs()
	t := s.table[p.Name]
	switch {
	case t == nil:
		if len(s.table) >= maxView && !s.evict() {
			return
		}
		t = &NodeState{Peer: p, SinceUs: nowUs, key: p.key()}
		s.table[p.Name] = t
		s.byKey[t.key] = p.Name
		s.log.Debug("peer_found", "peer", p.Name, "addr", p.Addr)
	case p.newer(&t.Peer):
		t.Peer = p
		if k := p.key(); k != t.key {
			s.replaced(t.key)
			delete(s.byKey, t.key)
			t.key, s.byKey[k] = k, p.Name
		}
	default:
		if k := p.key(); k != t.key && t.newer(&p) {
			s.replaced(k)
		}
		return
	}
	t.SeenUs = nowUs
	if s.OnRev != nil && p.Rev > s.self.Rev {
		s.OnRev(p)
	}
}

// evict forgets the peer unheard of for longest, if it is not alive.
func (s *Gossip) evict() bool {
	var oldest *NodeState
	for _, t := range s.table {
		if oldest == nil || t.SeenUs < oldest.SeenUs {
			oldest = t
		}
	}
	if oldest == nil || eventloop.NowUs()-oldest.SeenUs < aliveUs {
		return false
	}
	delete(s.byKey, oldest.key)
	delete(s.table, oldest.Name)
	return true
}

func (s *Gossip) round() {
	s.self.Heartbeat++
	s.publish()
	v := s.Look()
	targets, pings := map[string]bool{}, map[string]bool{}
	live := v.Names(func(t *NodeState) bool { return t.Alive && t.Name != s.self.Name })
	if len(live) > 0 {
		targets[v.Get(live[s.rng.IntN(len(live))]).Addr] = true
	}
	if s.close != nil {
		for _, name := range s.close(v) {
			if t := v.Get(name); t != nil && name != s.self.Name {
				pings[t.Addr] = true
			}
		}
	}
	// Seeds are asked while few are known, and now and then later, so that
	// parts that lost sight of each other meet again (design 3.3).
	if s.rng.IntN(seedOneIn(len(live))) == 0 && len(s.seeds) > 0 {
		targets[s.seeds[s.rng.IntN(len(s.seeds))]] = true
	}
	if s.rng.IntN(10) == 0 {
		if lost := v.Names(func(t *NodeState) bool { return !t.Alive }); len(lost) > 0 {
			targets[v.Get(lost[s.rng.IntN(len(lost))]).Addr] = true
		}
	}
	msg, ping := &shuffle{From: s.self, Words: s.sample()}, &shuffle{From: s.self, Ping: true}
	for addr := range targets {
		delete(pings, addr)
		s.tell(addr, msg)
	}
	for addr := range pings {
		s.tell(addr, ping)
	}
}

// seedOneIn is in how many rounds one goes to a seed too: the fewer the more
// peers are known, for the seeds are the same for all nodes and what comes to
// them must not grow with these (design 3.3).
func seedOneIn(live int) int {
	if live < 3 {
		return 1
	}
	return max(seedRounds, live)
}

// tell shuffles with one peer; what one side cannot read of the other's
// words is handed over in a second call.
func (s *Gossip) tell(addr string, msg *shuffle) {
	if addr == s.self.Addr {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, 600*time.Millisecond)
		defer cancel()
		var back shuffle
		err := s.transport.Call(ctx, addr, "swarm.shuffle", msg, &back)
		more, askErr := eventloop.Ask(s.ctx, s.loop, func() *shuffle {
			want := s.called(addr, &back, err)
			if len(want) == 0 && len(back.Want) == 0 {
				return nil
			}
			return &shuffle{From: s.self, Want: want, Full: s.lookUp(back.Want)}
		})
		if askErr != nil || more == nil {
			return
		}
		var full shuffle
		err = s.transport.Call(ctx, addr, "swarm.shuffle", more, &full)
		_ = s.loop.Do(s.ctx, func() { s.called(addr, &full, err) })
	}()
}

// called notes how a shuffle with a peer went. A port that refuses at once
// has no process behind it.
func (s *Gossip) called(addr string, back *shuffle, err error) (want []uint64) {
	if err == nil {
		want = s.merge(back)
		if t := s.table[back.From.Name]; t != nil {
			t.MetUs = eventloop.NowUs()
		}
		return want
	}
	if fault.Is(err, fault.Unreached) {
		for _, t := range s.table {
			if t.Addr == addr {
				t.MetUs = 0
			}
		}
	}
	return nil
}

// silentUs is how long a peer's beat may stand still before it is thought
// silent: where a shuffle names but a part of the peers, news of each takes
// longer to come round (design 3.3).
func silentUs(peers int) int64 {
	return aliveUs * int64(max(peers, wellNamed)) / wellNamed
}

func (s *Gossip) publish() {
	nowUs := eventloop.NowUs()
	limitUs := silentUs(len(s.table))
	v := &View{Self: s.self, All: make([]NodeState, 0, len(s.table)+1)}
	for name, t := range s.table {
		alive := nowUs-t.SeenUs < limitUs
		if alive != t.Alive {
			t.Alive, t.SinceUs = alive, nowUs
			if !alive {
				s.log.Info("peer_silent", "peer", name, "addr", t.Addr)
			} else {
				s.log.Info("peer_alive", "peer", name, "addr", t.Addr, "role", t.Role)
			}
		}
		if nowUs-t.SeenUs > forgetUs {
			delete(s.byKey, t.key)
			delete(s.table, name)
			continue
		}
		v.All = append(v.All, *t)
	}
	v.All = append(v.All, NodeState{Peer: s.self, Alive: true, SeenUs: nowUs})
	sort.Slice(v.All, func(i, j int) bool { return v.All[i].Name < v.All[j].Name })
	s.view.Store(v)
}
