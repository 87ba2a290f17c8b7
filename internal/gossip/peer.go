package gossip

import (
	"strconv"

	"github.com/zeebo/xxh3"
)

// Peer is the record that a node publishes about itself. Records travel as msgpack
// arrays: the order of the exported fields is the format.
type Peer struct {
	Name      string
	Addr      string // of the peer protocol
	Ctl       string // serves workers and operators, "" if it serves neither
	Az        string
	Role      string // settings.RoleEdge or settings.RoleStore
	Disk      string // identity of its disk, "" without one
	Bootstrap bool   // first start of the whole system, with an empty disk
	Leaving   bool   // it shuts down gracefully
	// Incarnation orders the records of one node (design 3.5). The previous version
	// sends the time of day at which the process started, in microseconds.
	Incarnation Incarnation
	Heartbeat   uint64 // grows with each round; orders records of one incarnation
	Revision    uint64 // newest revision of the register that it knows
	Ready       bool
	CPUMillis   int64 // processor, in thousandths of a core
	Overloaded  bool  // its own event loop runs late (design 8.2)

	// process is the random id of this node's own process. It is not encoded:
	// a record received from a peer has none.
	process string
}

// MemberID identifies the peer together with its disk.
func (p *Peer) MemberID() string { return p.Name + "#" + p.Disk }

// newer reports whether p replaces q, a record of the same node.
func (p *Peer) newer(q *Peer) bool {
	return p.Incarnation > q.Incarnation || p.Incarnation == q.Incarnation && p.Heartbeat > q.Heartbeat
}

// key hashes every field except the heartbeat and the revision. Digests refer to a
// record by it, so it is a part of the wire format.
func (p *Peer) key() uint64 {
	var h xxh3.Hasher
	for _, s := range []string{p.Name, p.Addr, p.Ctl, p.Az, p.Role, p.Disk, strconv.FormatInt(int64(p.Incarnation), 36), strconv.FormatInt(p.CPUMillis, 36)} {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}
	flags := "0"
	if p.Bootstrap {
		flags += "b"
	}
	if p.Leaving {
		flags += "l"
	}
	if p.Ready {
		flags += "r"
	}
	if p.Overloaded {
		flags += "s"
	}
	_, _ = h.WriteString(flags)
	return h.Sum64()
}
