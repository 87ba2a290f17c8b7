package rpc

import (
	"context"
	"net"
	"sync"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/codec"
	"rowanshunt/internal/fault"
)

// dialTimeout bounds the opening of a connection, which takes one round trip. A
// host that did not reply for so long counts as gone, and the calls that wait for
// the connection end Unreached rather than with their own time-outs.
const dialTimeout = 400 * clock.Millisecond

// TCP is the transport over real sockets: one connection to each peer, opened by the
// first call and shared by all. Any goroutine may call.
type TCP struct {
	counters *Counters
	dialer   *net.Dialer

	mu    sync.Mutex
	conns map[string]*pooledConn // by address; none that is known to be broken
}

// pooledConn is a connection that may still be opening. conn and err are set before
// ready is closed and do not change afterwards.
type pooledConn struct {
	ready chan struct{}
	conn  *clientConn
	err   error
}

// NewTCP makes a transport without connections. With nil counters nothing is counted.
func NewTCP(counters *Counters) *TCP {
	return &TCP{conns: map[string]*pooledConn{}, dialer: Dialer(dialTimeout.Duration()), counters: counters}
}

// Call implements Transport.
func (t *TCP) Call(ctx context.Context, addr, kind string, in, out any) error {
	body, err := codec.Marshal(in)
	if err != nil {
		return fault.New(fault.Internal, kind, err.Error(), "report this")
	}
	pooled, err := t.connect(ctx, addr)
	if err != nil {
		return fault.New(fault.Unreached, addr, err.Error(), "look whether that node runs")
	}
	reply, err := pooled.conn.call(ctx, kind, body)
	if err != nil {
		if pooled.conn.broken() {
			t.remove(addr, pooled)
		}
		t.counters.addSent(kind, len(body), 0)
		return err
	}
	t.counters.addSent(kind, len(body), len(reply.body))
	if reply.typ == frameFault {
		return decodeFault(kind, reply.body)
	}
	if out == nil {
		return nil
	}
	if err := Unmarshal(reply.body, out); err != nil {
		return fault.New(fault.Unsure, kind, "the answer cannot be read: "+err.Error(), "run the same version on all nodes")
	}
	return nil
}

// connect returns the connection to an address once it is open.
func (t *TCP) connect(ctx context.Context, addr string) (*pooledConn, error) {
	pooled := t.pooled(addr)
	select {
	case <-pooled.ready:
		return pooled, pooled.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pooled returns the connection to an address, and begins to open one where there is
// none. The dial belongs to no call, for several may wait for it; its own time-out
// bounds it.
func (t *TCP) pooled(addr string) *pooledConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if pooled := t.conns[addr]; pooled != nil {
		return pooled
	}
	pooled := &pooledConn{ready: make(chan struct{})}
	t.conns[addr] = pooled
	go t.dial(addr, pooled)
	return pooled
}

func (t *TCP) dial(addr string, pooled *pooledConn) {
	defer close(pooled.ready)
	conn, err := t.dialer.Dial("tcp", addr)
	if err != nil {
		pooled.err = err
		t.remove(addr, pooled)
		return
	}
	pooled.conn = newClientConn(conn)
	go pooled.conn.readReplies() // until the connection breaks or Close ends it
}

// remove makes the next call open a new connection.
func (t *TCP) remove(addr string, pooled *pooledConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[addr] == pooled {
		delete(t.conns, addr)
	}
}

// Close ends all connections that are open; calls on them end Unsure. One that is
// still opening is forgotten.
func (t *TCP) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, pooled := range t.conns {
		select {
		case <-pooled.ready:
			if pooled.conn != nil {
				_ = pooled.conn.conn.Close()
			}
		default:
		}
		delete(t.conns, addr)
	}
}
