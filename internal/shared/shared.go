// Package shared is what all parts of a node use together: its event loop, its
// calls to other nodes, what it knows of them, and its log (design 1.1).
package shared

import (
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
)

// Runtime is built once for a node; the parts' settings embed it.
type Runtime struct {
	Loop      *eventloop.Loop
	Mux       *rpc.Mux
	Transport rpc.Transport
	Gossip    *gossip.Gossip
	Log       *logging.Log
	Self      gossip.Peer
}
