package gossip

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"

	"rowanshunt/internal/clock"
)

// Bounds of the state table (design 3.2).
const (
	// maxPeers bounds the table; with more nodes than that each sees a part of them.
	maxPeers = 512
	// maxSuperseded bounds the set of superseded keys. When it is full it starts anew,
	// which costs some needless requests for records.
	maxSuperseded = 4096
)

// table is the state table of one node: the newest known record of each peer and
// when it last advanced. It does no I/O and takes the time as an argument. It is
// owned by the node's event loop and has no lock.
type table struct {
	self    Peer
	entries map[string]*entry // by name, without self
	// names finds an entry by its key. Invariant: names[e.key] is the name of e for
	// each entry e, and nothing else is in the map.
	names map[uint64]string
	// superseded are keys that newer records replaced: they are not requested again.
	superseded map[uint64]bool
	observer   observer
}

type entry struct {
	NodeState
	key uint64 // of Peer
}

// observer is notified of changes to the table, on the event loop. Its methods run in the
// midst of a change and must not modify the table, except for incarnationRaised.
type observer interface {
	peerJoined(p *Peer)
	livenessChanged(s *NodeState)
	// newerRevision reports a peer that knows a newer revision of the register.
	newerRevision(p Peer)
	// incarnationRaised reports that this node refuted a record of its own name. It may
	// update the liveness of peers.
	incarnationRaised(refuted Incarnation)
}

func newTable(self Peer, observer observer) *table {
	return &table{self: self, entries: map[string]*entry{}, names: map[uint64]string{}, superseded: map[uint64]bool{}, observer: observer}
}

// merge takes in what a peer sent and lists the keys whose records are unknown here.
func (t *table) merge(in *exchangeMessage, now clock.Instant) (unknown []uint64) {
	t.mergeRecord(in.From, now)
	for _, p := range in.Records[:min(len(in.Records), maxReceived)] {
		t.mergeRecord(p, now)
	}
	own := t.self.key()
	for _, d := range decodeDigests(in.Digests) {
		e := t.byKey(d.key)
		switch {
		case e != nil && d.heartbeat > e.Heartbeat:
			e.Heartbeat, e.Revision, e.LastProgress = d.heartbeat, max(e.Revision, d.revision), now
			t.reportNewerRevision(e.Peer)
		case e == nil && d.key != own && !t.superseded[d.key] && len(unknown) < maxDigests:
			unknown = append(unknown, d.key)
		}
	}
	return unknown
}

// mergeRecord takes in a complete record, if it is newer than the known one.
func (t *table) mergeRecord(p Peer, now clock.Instant) {
	if p.Name == t.self.Name {
		t.refute(&p)
		return
	}
	if p.Name == "" || p.Addr == "" || p.Incarnation >= maxIncarnation {
		return
	}
	e := t.entries[p.Name]
	switch {
	case e == nil:
		if len(t.entries) >= maxPeers && !t.evictSilent(now) {
			return
		}
		e = t.insert(p, now)
	case p.newer(&e.Peer):
		t.replace(e, p)
	default:
		if key := p.key(); key != e.key && e.newer(&p) {
			t.markSuperseded(key)
		}
		return
	}
	e.LastProgress = now
	t.reportNewerRevision(p)
}

func (t *table) insert(p Peer, now clock.Instant) *entry {
	e := &entry{NodeState: NodeState{Peer: p, StateChanged: now}, key: p.key()}
	t.entries[p.Name] = e
	t.names[e.key] = p.Name
	t.observer.peerJoined(&e.Peer)
	return e
}

func (t *table) replace(e *entry, p Peer) {
	e.Peer = p
	key := p.key()
	if key == e.key {
		return
	}
	t.markSuperseded(e.key)
	delete(t.names, e.key)
	e.key, t.names[key] = key, p.Name
}

func (t *table) remove(e *entry) {
	delete(t.names, e.key)
	delete(t.entries, e.Name)
}

func (t *table) byKey(key uint64) *entry { return t.entries[t.names[key]] }

// reportNewerRevision tells the observer of a peer that knows a newer revision of the register.
func (t *table) reportNewerRevision(p Peer) {
	if p.Revision > t.self.Revision {
		t.observer.newerRevision(p)
	}
}

func (t *table) markSuperseded(key uint64) {
	if len(t.superseded) >= maxSuperseded {
		clear(t.superseded)
	}
	t.superseded[key] = true
}

// evictSilent makes room by removing the peer that has been silent for longest. It
// reports false if all peers are alive.
func (t *table) evictSilent(now clock.Instant) bool {
	var oldest *entry
	for _, e := range t.entries {
		if oldest == nil || e.LastProgress < oldest.LastProgress {
			oldest = e
		}
	}
	if oldest == nil || now.Sub(oldest.LastProgress) < silenceTimeout {
		return false
	}
	t.remove(oldest)
	return true
}

// refute raises this node's incarnation above that of a record of its own name, which
// an earlier process left with the peers (design 3.5).
func (t *table) refute(p *Peer) {
	if !p.newer(&t.self) || p.Incarnation >= maxIncarnation {
		return
	}
	t.self.Incarnation = t.self.Incarnation.above(p.Incarnation)
	t.self.Heartbeat++
	t.observer.incarnationRaised(p.Incarnation)
}

// newerThanSender returns the record that is held of a sender whose own record is
// older, if any. The sender must receive it to refute it; until then its peers ignore
// its records.
func (t *table) newerThanSender(from *Peer) []Peer {
	e := t.entries[from.Name]
	if e == nil || !e.newer(from) {
		return nil
	}
	return []Peer{e.Peer}
}

// records returns those records of the requested keys that are known here.
func (t *table) records(keys []uint64) []Peer {
	var out []Peer
	for _, key := range keys[:min(len(keys), maxDigests)] {
		if e := t.byKey(key); e != nil {
			out = append(out, e.Peer)
		}
	}
	return out
}

// digests selects the records that an exchange carries: those that advanced last, since
// they are news to most peers, and among equals a random choice. Records that stand
// still are left out, or dead peers would keep one another in the tables.
func (t *table) digests(now clock.Instant, rng *rand.Rand) []digest {
	var recent []*entry
	for _, e := range t.entries {
		if now.Sub(e.LastProgress) < 3*silenceTimeoutFor(len(t.entries)) {
			recent = append(recent, e)
		}
	}
	rng.Shuffle(len(recent), func(i, j int) { recent[i], recent[j] = recent[j], recent[i] })
	slices.SortStableFunc(recent, func(a, b *entry) int { return cmp.Compare(b.LastProgress, a.LastProgress) })
	var out []digest
	for _, e := range recent[:min(len(recent), maxDigests)] {
		out = append(out, digest{key: e.key, heartbeat: e.Heartbeat, revision: e.Revision})
	}
	return out
}

// contactMade records that a peer answered this node.
func (t *table) contactMade(name string, now clock.Instant) {
	if e := t.entries[name]; e != nil {
		e.LastContact = now
	}
}

// contactLost records that no process listens at an address.
func (t *table) contactLost(addr string) {
	for _, e := range t.entries {
		if e.Addr == addr {
			e.LastContact = 0
		}
	}
}

// updateLiveness applies the time-outs of failure detection and forgets peers that have
// been silent for forgetTimeout.
func (t *table) updateLiveness(now clock.Instant) {
	limit := silenceTimeoutFor(len(t.entries))
	for _, e := range t.entries {
		silence := now.Sub(e.LastProgress)
		if alive := silence < limit; alive != e.Alive {
			e.Alive, e.StateChanged = alive, now
			t.observer.livenessChanged(&e.NodeState)
		}
		if silence > forgetTimeout {
			t.remove(e)
		}
	}
}

// view copies the table into an immutable snapshot.
func (t *table) view(now clock.Instant) *View {
	v := &View{Self: t.self, Nodes: make([]NodeState, 0, len(t.entries)+1)}
	for _, e := range t.entries {
		v.Nodes = append(v.Nodes, e.NodeState)
	}
	v.Nodes = append(v.Nodes, NodeState{Peer: t.self, Alive: true, LastProgress: now})
	sort.Slice(v.Nodes, func(i, j int) bool { return v.Nodes[i].Name < v.Nodes[j].Name })
	return v
}
