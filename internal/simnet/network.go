// Package simnet is the simulated network that tests put nodes into: peer calls and
// byte connections with delay, loss, duplication and partitions, all drawn from one
// seed (design 12.2). It runs inside a synctest bubble, so that waiting takes no time.
package simnet

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/rpc"
)

// Delays of one way.
const (
	minDelay        = 100 * clock.Microsecond
	defaultMaxDelay = clock.Millisecond // above minDelay
)

// Network carries peer calls and connections between addresses. Any goroutine may
// use it. Its draws follow from the seed as far as the order of the calls does.
type Network struct {
	mu        sync.Mutex
	rng       *rand.Rand
	sites     map[string]*site     // that serve calls, by address
	listeners map[string]*Listener // that accept connections, by address
	cuts      map[direction]bool
	frozen    map[string]bool
	stalled   map[string]string        // by address, the prefix of the kinds of calls that are held
	resumed   map[string]chan struct{} // by address of a suspended process; closed when it goes on
	onCall    func(Call)
	sentBytes map[string]int64 // of calls and replies, by kind of call

	maxDelay    clock.Micros // of one way, above minDelay
	loss        float64      // share of peer calls, each way
	duplication float64      // share of peer calls that are served twice
}

// direction is one way between two addresses.
type direction struct{ from, to string }

// site is a node's call mux at an address, until its context ends.
type site struct {
	mux *rpc.Mux
	ctx context.Context
}

// New makes a network whose draws follow from the seed.
func New(seed uint64) *Network {
	return &Network{
		rng:       rand.New(rand.NewPCG(seed, 7)),
		sites:     map[string]*site{},
		listeners: map[string]*Listener{},
		cuts:      map[direction]bool{},
		frozen:    map[string]bool{},
		stalled:   map[string]string{},
		resumed:   map[string]chan struct{}{},
		sentBytes: map[string]int64{},
		maxDelay:  defaultMaxDelay,
	}
}

// Serve has a node's call mux answer at an address until ctx ends, in place of an
// earlier one.
func (n *Network) Serve(ctx context.Context, addr string, mux *rpc.Mux) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[addr] = &site{mux: mux, ctx: ctx}
}

// Cut stops all traffic from one address to another, or lets it pass again.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[direction{from, to}] = cut
}

// CutOff cuts an address from all others given, both ways, or joins them again.
func (n *Network) CutOff(addr string, others []string, cut bool) {
	for _, other := range others {
		if other != addr {
			n.Cut(addr, other, cut)
			n.Cut(other, addr, cut)
		}
	}
}

// Disturb sets which shares of the peer calls are lost and duplicated from now on.
func (n *Network) Disturb(loss, duplication float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.duplication = loss, duplication
}

// SetMaxDelay sets how much the delay of one way may be above its least, from now on.
func (n *Network) SetMaxDelay(delay clock.Micros) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.maxDelay = delay
}

// Random draws a number below bound.
func (n *Network) Random(bound int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.IntN(bound)
}

// Sent counts the bytes of calls and replies of kinds with a prefix that were sent
// so far, those that were lost included.
func (n *Network) Sent(kindPrefix string) (total int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for kind, bytes := range n.sentBytes {
		if strings.HasPrefix(kind, kindPrefix) {
			total += bytes
		}
	}
	return total
}

func (n *Network) countSent(kind string, body []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentBytes[kind] += int64(len(body))
}

// passage is what happens to one message on its way.
type passage struct {
	site       *site // at its end, nil: none
	delay      time.Duration
	lost       bool
	duplicated bool
}

// draw decides about a message from one address to another.
func (n *Network) draw(from, to string) passage {
	n.mu.Lock()
	defer n.mu.Unlock()
	delay := minDelay + clock.Micros(n.rng.Int64N(int64(max(n.maxDelay, 1))))
	p := passage{site: n.sites[to], delay: delay.Duration()}
	p.lost = n.cuts[direction{from, to}] || n.rng.Float64() < n.loss
	p.duplicated = n.rng.Float64() < n.duplication
	return p
}

// wait reports false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
