package lotstore

import (
	"maps"
	"slices"

	"rowanshunt/internal/register"
)

// The model checker's world: three replicas of one shard with the real state
// machines (claimCore, answerClaim, takeOver, apply, differences, held), a network
// that keeps every call ever sent, and the record of what was acknowledged. The
// feeds' bookkeeping (feed.go) is done here after the code, not by it.
//
// Loss, repetition and delay: a claim or a write, once sent, may reach a replica at
// any later time, any number of times, or never. An answer comes at once or never:
// it changes only the caller, whose next steps may be as late as you like.
//
// Crash: memory is read anew from the disk, which may lie behind it until it
// catches up or a call is answered. A crash between a write and its answer is a
// lost answer.

const modelLot = "x"

// modelNode is one replica and what it does as a claimant or owner.
type modelNode struct {
	alive bool
	life  int
	shard *shard
	disk  *shard     // nil: the same as the memory
	claim *claimCore // under way
	waits []modelWait
	// sent is the write to each member that the owner waits for, nil for none.
	sent [3]*sentCall
}

// modelWait is an op that waits for a majority.
type modelWait struct {
	seq    uint64
	op     int  // number of the client's op, 0 for the claim's
	result bool // it lists a result, else it accepts the lot
	above  Term // the highest owner that served when it was issued
	term   Term // under which it was acknowledged
}

// sentCall is a call in the network: a claim to all members, or a write to one.
type sentCall struct {
	claimant int // of a claim, else -1
	to       int // of a write
	term     Term
	ops      []op
	upTo     uint64
}

type claimWorld struct {
	nodes  []*modelNode
	fresh  [3]bool // nodes that no other world shares
	sent   []*sentCall
	acked  []modelWait
	terms  []Term // of all owners there were
	served Term   // of the highest owner that served
	claims [3]int // left, by node
	issued int    // ops of clients
	losses int    // writes that an owner gives up, left
	wipes  int    // left

	crashes [3]int // left, by node
}

func (w *claimWorld) clone() *claimWorld {
	c := *w
	c.nodes, c.sent, c.acked, c.terms = slices.Clone(w.nodes), slices.Clone(w.sent), slices.Clone(w.acked), slices.Clone(w.terms)
	c.fresh = [3]bool{}
	return &c
}

// change gives a node that may be changed.
func (w *claimWorld) change(i int) *modelNode {
	if w.fresh[i] {
		return w.nodes[i]
	}
	n := *w.nodes[i]
	n.shard = copyShard(n.shard)
	n.waits = slices.Clone(n.waits)
	if n.claim != nil {
		claim := *n.claim
		claim.agreed, claim.best, claim.holders, claim.fetched = maps.Clone(claim.agreed), maps.Clone(claim.best), maps.Clone(claim.holders), maps.Clone(claim.fetched)
		n.claim = &claim
	}
	w.nodes[i], w.fresh[i] = &n, true
	return &n
}

func copyLot(l *Lot) *Lot {
	c := l.share()
	c.listed = slices.Clone(l.listed)
	return c
}

func copyShard(s *shard) *shard {
	c := *s
	c.lots = make(map[string]*Lot, len(s.lots))
	for id, l := range s.lots {
		c.lots[id] = copyLot(l)
	}
	if s.owner != nil {
		o := *s.owner
		o.feeds = make(map[string]*feed, len(s.owner.feeds))
		for id, f := range s.owner.feeds {
			one := *f
			one.queue = slices.Clone(f.queue)
			o.feeds[id] = &one
		}
		c.owner = &o
	}
	return &c
}

func memberAt(i int) register.Member {
	id := string(rune('a' + i))
	return register.Member{ID: id, Name: id}
}

func indexOf(id string) int { return int(id[0] - 'a') }

// knows tells whether the copies hold what an op put there.
func knows(s *shard, op modelWait) bool {
	l := s.lots[modelLot]
	if l == nil {
		return false
	}
	if !op.result {
		return l.SentUs == int64(op.op)
	}
	return slices.ContainsFunc(l.List, func(r Result) bool { return r.Lease == uint64(op.op) })
}

// worldKey writes a world as bytes: equal bytes, equal worlds.
type worldKey struct{ buf []byte }

func (k *worldKey) number(numbers ...uint64) {
	for _, n := range numbers {
		k.buf = append(k.buf, byte(n))
	}
}

func (k *worldKey) flag(b bool) {
	if b {
		k.number(1)
	} else {
		k.number(0)
	}
}

func (k *worldKey) term(t Term) {
	k.number(t.Membership, t.N, uint64(len(t.By)))
	k.buf = append(k.buf, t.By...)
}

func (k *worldKey) lot(l *Lot) {
	k.flag(l != nil)
	if l == nil {
		return
	}
	k.term(l.Term)
	k.term(l.src.Term)
	k.number(l.Rev, l.src.Rev, uint64(l.SentUs), uint64(len(l.List)))
	for _, r := range l.List {
		k.number(r.Lease)
	}
}

func (k *worldKey) op(o *op) {
	k.number(uint64(o.Kind), o.Rev, o.From, uint64(o.Listed), uint64(len(o.Results)))
	k.term(o.Term)
	k.term(o.Src)
	for _, r := range o.Results {
		k.number(r.Lease)
	}
	k.lot(o.Whole)
}

func (k *worldKey) ops(ops []op) {
	k.number(uint64(len(ops)))
	for i := range ops {
		k.op(&ops[i])
	}
}

func (k *worldKey) waits(waits []modelWait) {
	k.number(uint64(len(waits)))
	for _, wait := range waits {
		k.number(wait.seq, uint64(wait.op))
		k.flag(wait.result)
		k.term(wait.above)
		k.term(wait.term)
	}
}

func (k *worldKey) owner(o *owner) {
	k.term(o.term)
	k.number(o.seq, o.diskIssued, o.diskDone)
	k.flag(o.ready)
	for i := range 3 {
		f := o.feeds[memberAt(i).ID]
		k.flag(f != nil)
		if f != nil {
			k.number(f.acked, f.lastQ)
			k.flag(f.cold)
			k.ops(f.queue)
		}
	}
}

func (k *worldKey) claim(c *claimCore) {
	k.term(c.term)
	for i := range 3 {
		k.flag(c.agreed[memberAt(i).ID])
	}
	best := c.best[modelLot]
	k.term(best.Term)
	k.number(best.Rev)
	k.buf = append(k.buf, c.holders[modelLot].ID...)
	k.lot(c.fetched[modelLot])
}

func (k *worldKey) node(n *modelNode) {
	k.flag(n.alive)
	if !n.alive {
		return
	}
	k.number(uint64(n.life), n.shard.seenMax)
	k.term(n.shard.promised)
	k.lot(n.shard.lots[modelLot])
	k.lot(n.shard.fetched[modelLot])
	k.flag(n.disk != nil)
	if n.disk != nil {
		k.term(n.disk.promised)
		k.lot(n.disk.lots[modelLot])
	}
	k.flag(n.claim != nil)
	if n.claim != nil {
		k.claim(n.claim)
	}
	k.flag(n.shard.owner != nil)
	if n.shard.owner == nil {
		return
	}
	k.owner(n.shard.owner)
	k.waits(n.waits)
	for _, call := range n.sent {
		k.flag(call != nil)
		if call != nil {
			k.call(call)
		}
	}
}

func (k *worldKey) call(call *sentCall) {
	k.number(uint64(call.claimant+1), uint64(call.to), call.upTo)
	k.term(call.term)
	k.ops(call.ops)
}

// calls writes the calls in the network, whatever order they were sent in.
func (k *worldKey) calls(sent []*sentCall) {
	start := len(k.buf)
	texts := make([]string, len(sent))
	for i, call := range sent {
		from := len(k.buf)
		k.call(call)
		texts[i] = string(k.buf[from:])
	}
	k.buf = k.buf[:start]
	slices.Sort(texts)
	for _, text := range texts {
		k.buf = append(k.buf, text...)
	}
}

func (k *worldKey) world(w *claimWorld) []byte {
	k.buf = k.buf[:0]
	for _, n := range w.nodes {
		k.node(n)
	}
	k.calls(w.sent)
	k.number(255)
	k.waits(w.acked)
	k.term(w.served)
	for i := range 3 {
		k.number(uint64(w.claims[i]), uint64(w.crashes[i]))
	}
	k.number(uint64(w.issued), uint64(w.losses), uint64(w.wipes))
	return k.buf
}
