// Package rpc is the peer protocol: calls between the system's own nodes,
// msgpack in frames with a bounded length (design 2).
//
// A node answers calls with the handlers of its Mux, which a Listener serves to
// its peers, and makes calls with a Transport.
package rpc

import "context"

// Transport carries calls to peers. Tests put a simulated network in its place.
type Transport interface {
	// Call sends in to the peer at addr and decodes its reply into out
	// (nil: not wanted). An Unreached fault promises that the peer never
	// got the call; an Unsure one promises nothing.
	Call(ctx context.Context, addr, kind string, in, out any) error
}

// Empty is the reply to calls that only confirm.
type Empty struct {
}
