package rpc

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/logging"
)

// acceptBackoff is the wait after a failed accept, such as one without a free file
// descriptor: short beside the callers' time-outs, long enough not to spin.
const acceptBackoff = 20 * clock.Millisecond

// Listener serves the calls of peers with the handlers of a mux.
type Listener struct {
	ln       net.Listener
	mux      *Mux
	log      *logging.Log
	counters *Counters

	mu   sync.Mutex
	open map[net.Conn]struct{} // so that Run can end them
}

// Listen opens the peer port. With nil counters nothing is counted.
func Listen(addr string, mux *Mux, log *logging.Log, counters *Counters) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer port")
	}
	return &Listener{ln: ln, mux: mux, log: log, counters: counters, open: map[net.Conn]struct{}{}}, nil
}

// Addr is the bound address.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Run accepts peers until ctx ends, which closes their connections too. It does not
// wait for the calls that are being served then; their contexts have ended.
func (l *Listener) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			l.log.Warn("peer_accept_failed", "err", err)
			clock.Sleep(ctx, acceptBackoff.Duration())
			continue
		}
		l.add(conn)
		go l.serve(ctx, conn) // until the peer or close ends the connection
	}
}

func (l *Listener) serve(ctx context.Context, conn net.Conn) {
	defer l.remove(conn)
	newServerConn(conn, l).serve(ctx)
}

func (l *Listener) close() {
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		_ = conn.Close()
	}
}

func (l *Listener) add(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = struct{}{}
}

func (l *Listener) remove(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}
