package consensus

import (
	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rpc"
)

// Member is one voter: a node's name together with the identity of its disk. A
// node whose disk was wiped is another member (design 4.4).
type Member struct {
	ID   string
	Name string
	Addr string
	Az   string
}

// MemberOf is the member that a peer is with its disk.
func MemberOf(p *gossip.Peer) Member {
	return Member{ID: p.MemberID(), Name: p.Name, Addr: p.Addr, Az: p.Az}
}

// DecodeMsgpack reads members of earlier versions too.
func (m *Member) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &m.ID, &m.Name, &m.Addr, &m.Az)
}
