package simnet

import (
	"context"
	"net"
	"sync"
	"syscall"

	"rowanshunt/internal/clock"
)

const (
	// networkName is that of the addresses and of errors of dials.
	networkName = "simnet"
	// acceptBacklog is how many connections may wait to be accepted.
	acceptBacklog = 256
	// cutDialTimeout is after how long a dial across a cut fails, as a system's own
	// time-out would make it.
	cutDialTimeout = 350 * clock.Millisecond
)

// Listener accepts the connections that are dialled to an address.
type Listener struct {
	net    *Network
	addr   string
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen opens an address for connections, in place of an earlier listener.
func (n *Network) Listen(addr string) *Listener {
	l := &Listener{net: n, addr: addr, queue: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.queue:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		if l.net.listeners[l.addr] == l {
			delete(l.net.listeners, l.addr)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return address(l.addr) }

type address string

func (a address) Network() string { return networkName }
func (a address) String() string  { return string(a) }

// DialFrom dials connections as the node at an address.
func (n *Network) DialFrom(from string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.beforeCall(Call{From: from, To: addr, Kind: Dial})
		conn, err := n.dial(ctx, from, addr)
		n.AwaitRunning(from)
		return conn, err
	}
}

func (n *Network) dial(ctx context.Context, from, addr string) (net.Conn, error) {
	l, cut := n.listener(from, addr)
	if cut {
		wait(ctx, cutDialTimeout.Duration())
		return nil, dialError(syscall.ETIMEDOUT)
	}
	if l == nil {
		return nil, dialError(syscall.ECONNREFUSED)
	}
	near, far := net.Pipe()
	select {
	case l.queue <- far:
		return &processConn{Conn: near, net: n, addr: from}, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = near.Close()
	return nil, dialError(syscall.ECONNREFUSED)
}

// listener returns who listens at an address, nil if nobody does, and whether the
// way there is cut.
func (n *Network) listener(from, addr string) (l *Listener, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[addr], n.cuts[direction{from, addr}]
}

func dialError(err error) error { return &net.OpError{Op: "dial", Net: networkName, Err: err} }
