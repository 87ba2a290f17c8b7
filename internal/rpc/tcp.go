package rpc

import (
	"bufio"
	"context"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/logging"
)

// userTimeoutMs is how long sent bytes may stay unacknowledged on any connection.
const userTimeoutMs = 1500

// Dialer makes connections whose silent other end is noticed (design 2.4).
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:   timeout,
		KeepAlive: -1,
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if e := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMs)
			}); e != nil {
				return e
			}
			return err
		},
	}
}

// TCP is the transport over real sockets.
type TCP struct {
	mu       sync.Mutex
	conns    map[string]*conn
	dialer   *net.Dialer
	counters *Counters
}

// NewTCP makes a transport without connections.
func NewTCP(counters *Counters) *TCP {
	return &TCP{conns: map[string]*conn{}, dialer: Dialer(400 * time.Millisecond), counters: counters}
}

type conn struct {
	ready chan struct{}
	err   error
	conn  net.Conn

	wmu sync.Mutex
	w   *bufio.Writer

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan frame
	broken  error
}

// Call implements Transport.
func (t *TCP) Call(ctx context.Context, addr, kind string, in, out any) error {
	body, err := codec.Marshal(in)
	if err != nil {
		return fault.New(fault.Internal, kind, err.Error(), "report this")
	}
	c, err := t.conn(ctx, addr)
	if err != nil {
		return fault.New(fault.Unreached, addr, err.Error(), "look whether that node runs")
	}
	answer, err := c.call(ctx, kind, body)
	if err != nil {
		if c.dead() {
			t.drop(addr, c)
		}
		t.counters.asked(kind, len(body), 0)
		return err
	}
	t.counters.asked(kind, len(body), len(answer.body))
	if answer.kind == frameFault {
		var w faultWire
		if err := Unmarshal(answer.body, &w); err != nil {
			return fault.New(fault.Unsure, kind, "the fault cannot be read", "run the same version on all nodes")
		}
		return fault.New(w.Kind, w.Field, w.What, w.Remedy)
	}
	if out == nil {
		return nil
	}
	if err := Unmarshal(answer.body, out); err != nil {
		return fault.New(fault.Unsure, kind, "the answer cannot be read: "+err.Error(), "run the same version on all nodes")
	}
	return nil
}

type faultWire struct {
	Kind   fault.Kind
	Field  string
	What   string
	Remedy string
}

func (t *TCP) conn(ctx context.Context, addr string) (*conn, error) {
	t.mu.Lock()
	c := t.conns[addr]
	if c == nil {
		c = &conn{ready: make(chan struct{}), waiting: map[uint64]chan frame{}}
		t.conns[addr] = c
		go func() {
			conn, err := t.dialer.Dial("tcp", addr)
			if err != nil {
				c.err = err
				t.drop(addr, c)
			} else {
				c.conn, c.w = conn, bufio.NewWriterSize(conn, 4<<10)
				go c.read()
			}
			close(c.ready)
		}()
	}
	t.mu.Unlock()
	select {
	case <-c.ready:
		return c, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *TCP) drop(addr string, c *conn) {
	t.mu.Lock()
	if t.conns[addr] == c {
		delete(t.conns, addr)
	}
	t.mu.Unlock()
}

// Close ends all connections.
func (t *TCP) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, c := range t.conns {
		select {
		case <-c.ready:
			if c.conn != nil {
				_ = c.conn.Close()
			}
		default:
		}
		delete(t.conns, a)
	}
}

func (c *conn) dead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken != nil
}

func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.broken == nil {
		c.broken = err
	}
	waiting := c.waiting
	c.waiting = map[uint64]chan frame{}
	c.mu.Unlock()
	_ = c.conn.Close()
	for _, ch := range waiting {
		close(ch)
	}
}

func (c *conn) read() {
	r := bufio.NewReaderSize(c.conn, 4<<10)
	for {
		f, err := readFrame(r)
		if err != nil {
			c.fail(err)
			return
		}
		c.mu.Lock()
		ch := c.waiting[f.id]
		asked := f.id > 0 && f.id <= c.nextID
		delete(c.waiting, f.id)
		c.mu.Unlock()
		if !asked || f.kind != frameAnswer && f.kind != frameFault {
			c.fail(fault.New(fault.Invalid, "frame", "no answer to a call of this connection", "drop the connection"))
			if ch != nil {
				close(ch)
			}
			return
		}
		if ch != nil {
			ch <- f
		}
	}
}

func (c *conn) call(ctx context.Context, kind string, body []byte) (frame, error) {
	if len(kind) > maxName || len(body) > maxBody {
		return frame{}, errFrameTooLong(kind) // nothing was sent, and the other calls go on
	}
	ch := make(chan frame, 1)
	c.mu.Lock()
	if c.broken != nil {
		c.mu.Unlock()
		return frame{}, fault.New(fault.Unreached, kind, "the connection is broken", "try again")
	}
	c.nextID++
	id := c.nextID
	c.waiting[id] = ch
	c.mu.Unlock()

	c.wmu.Lock()
	if ctx.Err() != nil {
		// The calls before this one took all of its time.
		c.wmu.Unlock()
		c.forget(id)
		return frame{}, fault.New(fault.Unreached, kind, "no time was left before the call was sent", "try again")
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(userTimeoutMs * time.Millisecond))
	err := writeFrame(c.w, frame{kind: frameCall, id: id, name: kind, body: body})
	if err == nil {
		err = c.w.Flush()
	}
	c.wmu.Unlock()
	if err != nil {
		c.fail(err)
		return frame{}, fault.New(fault.Unsure, kind, err.Error(), "try again")
	}
	select {
	case f, ok := <-ch:
		if !ok {
			return frame{}, fault.New(fault.Unsure, kind, "the connection broke before the answer", "try again")
		}
		return f, nil
	case <-ctx.Done():
		c.forget(id)
		return frame{}, fault.New(fault.Unsure, kind, "no answer in time", "try again")
	}
}

// forget gives a call up; its answer is read over.
func (c *conn) forget(id uint64) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
}

// Listener serves peers.
type Listener struct {
	ln       net.Listener
	mux      *Mux
	log      *logging.Log
	counters *Counters
	mu       sync.Mutex
	open     map[net.Conn]struct{}
}

// maxCallsOpen bounds the calls that one peer may have under way.
const maxCallsOpen = 512

// Listen opens the peer port.
func Listen(addr string, mux *Mux, log *logging.Log, counters *Counters) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer port")
	}
	return &Listener{ln: ln, mux: mux, log: log, counters: counters, open: map[net.Conn]struct{}{}}, nil
}

// Addr is the bound address.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Run accepts peers until ctx ends.
func (l *Listener) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() {
		_ = l.ln.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range l.open {
			_ = c.Close()
		}
	})
	defer stop()
	for {
		conn, err := l.ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			l.log.Warn("peer_accept_failed", "err", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		l.mu.Lock()
		l.open[conn] = struct{}{}
		l.mu.Unlock()
		go l.serve(ctx, conn)
	}
}

func (l *Listener) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		_ = conn.Close()
		l.mu.Lock()
		delete(l.open, conn)
		l.mu.Unlock()
	}()
	r := bufio.NewReaderSize(conn, 4<<10)
	w := bufio.NewWriterSize(conn, 4<<10)
	var wmu sync.Mutex
	room := make(chan struct{}, maxCallsOpen)
	for {
		f, err := readFrame(r)
		if err != nil {
			if fault.KindOf(err) == fault.Invalid {
				l.log.Warn("peer_frame_refused", "from", conn.RemoteAddr(), "err", err)
			}
			return
		}
		if f.kind != frameCall {
			return
		}
		room <- struct{}{}
		go func() {
			defer func() { <-room }()
			answer := frame{kind: frameAnswer, id: f.id}
			body, err := l.run(ctx, f)
			if err == nil && len(body) > maxBody {
				err = errFrameTooLong(f.name)
			}
			if err != nil {
				answer.kind = frameFault
				body, _ = codec.Marshal(wireOf(err))
			}
			answer.body = body
			l.counters.answered(f.name, len(f.body), len(body))
			wmu.Lock()
			defer wmu.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(2 * userTimeoutMs * time.Millisecond))
			if writeFrame(w, answer) != nil || w.Flush() != nil {
				_ = conn.Close()
			}
		}()
	}
}

func (l *Listener) run(ctx context.Context, f frame) (body []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Warn("peer_call_panicked", "kind", f.name, "panic", p, "stack", string(debug.Stack()))
			err = fault.New(fault.Unsure, f.name, "the handler failed", "report this")
		}
	}()
	return l.mux.Serve(ctx, f.name, f.body)
}

func wireOf(err error) faultWire {
	var f *fault.Fault
	if errors.As(err, &f) {
		return faultWire{Kind: f.Kind, Field: f.Field, What: f.What, Remedy: f.Remedy}
	}
	return faultWire{Kind: fault.Unsure, What: err.Error()}
}
