package rpc

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Counters counts calls and bytes by kind, as this node sent and served them: what
// control costs a node can be read off its log (design 2.5). Any goroutine may use
// it; nil counts nothing.
type Counters struct {
	mu     sync.Mutex
	byKind map[string]*traffic
}

// traffic is that of one kind of call.
type traffic struct {
	callsOut, callsIn int64
	bytesOut, bytesIn int64
}

func (t *traffic) add(more traffic) {
	t.callsOut += more.callsOut
	t.callsIn += more.callsIn
	t.bytesOut += more.bytesOut
	t.bytesIn += more.bytesIn
}

func (t *traffic) bytes() int64 { return t.bytesOut + t.bytesIn }

// NewCounters makes counters that stand at zero.
func NewCounters() *Counters { return &Counters{byKind: map[string]*traffic{}} }

func (c *Counters) add(kind string, more traffic) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKind[kind] == nil {
		c.byKind[kind] = &traffic{}
	}
	c.byKind[kind].add(more)
}

// addSent counts a call to a peer.
func (c *Counters) addSent(kind string, outBytes, inBytes int) {
	c.add(kind, traffic{callsOut: 1, bytesOut: int64(outBytes), bytesIn: int64(inBytes)})
}

// addServed counts a call of a peer.
func (c *Counters) addServed(kind string, inBytes, outBytes int) {
	c.add(kind, traffic{callsIn: 1, bytesOut: int64(outBytes), bytesIn: int64(inBytes)})
}

// Total is a sum over all kinds, both ways.
type Total struct{ Calls, Bytes int64 }

// Drain returns what was counted since the last time, as comma-separated
// kind:callsOut/callsIn/bytesOut/bytesIn, most bytes first, and its sums.
func (c *Counters) Drain() (line string, total Total) {
	c.mu.Lock()
	drained := c.byKind
	c.byKind = map[string]*traffic{}
	c.mu.Unlock()
	kinds := slices.SortedFunc(maps.Keys(drained), func(a, b string) int {
		return cmp.Or(cmp.Compare(drained[b].bytes(), drained[a].bytes()), cmp.Compare(a, b))
	})
	fields := make([]string, len(kinds))
	for i, kind := range kinds {
		t := drained[kind]
		total.Calls += t.callsOut + t.callsIn
		total.Bytes += t.bytes()
		fields[i] = fmt.Sprintf("%s:%d/%d/%d/%d", kind, t.callsOut, t.callsIn, t.bytesOut, t.bytesIn)
	}
	return strings.Join(fields, ","), total
}
