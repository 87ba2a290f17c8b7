package rpc

import (
	"bufio"
	"context"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"rowanshunt/internal/fault"
	"rowanshunt/internal/logging"
)

// replyWriteTimeout bounds how long one reply may block. The listener's sockets have
// no TCP_USER_TIMEOUT, so it is all that ends a reply to a caller that does not read;
// it is twice the caller's own limit, which then breaks the connection first.
const replyWriteTimeout = 2 * userTimeout

// maxOpenCalls bounds the calls that one peer may have in progress: the connection
// is not read while as many are.
const maxOpenCalls = 512

// serverConn serves the calls of one peer. serve's goroutine reads; each call runs in
// one of its own, bounded by maxOpenCalls.
type serverConn struct {
	conn     net.Conn
	mux      *Mux
	log      *logging.Log
	counters *Counters
	slots    chan struct{} // one token a call in progress

	writeMu sync.Mutex // one frame at a time
	w       *bufio.Writer
}

func newServerConn(conn net.Conn, l *Listener) *serverConn {
	return &serverConn{conn: conn, mux: l.mux, log: l.log, counters: l.counters,
		slots: make(chan struct{}, maxOpenCalls), w: bufio.NewWriterSize(conn, connBufferBytes)}
}

// serve reads calls until the connection breaks or the peer sends what is no call.
// The contexts of the calls in progress end with it.
func (sc *serverConn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := bufio.NewReaderSize(sc.conn, connBufferBytes)
	for {
		f, err := readFrame(r)
		if err != nil {
			if fault.Is(err, fault.Invalid) {
				sc.log.Warn("peer_frame_refused", "from", sc.conn.RemoteAddr(), "err", err)
			}
			return
		}
		if f.typ != frameCall {
			return
		}
		sc.slots <- struct{}{}
		go func() {
			defer func() { <-sc.slots }()
			sc.reply(sc.answer(ctx, f))
		}()
	}
}

// answer runs the handler of a call and makes its reply or fault.
func (sc *serverConn) answer(ctx context.Context, call frame) frame {
	out := frame{typ: frameReply, callID: call.callID}
	body, err := sc.run(ctx, call)
	if err == nil && len(body) > maxBodyBytes {
		err = errFrameTooLong(call.kind)
	}
	if err != nil {
		out.typ = frameFault
		body = encodeFault(err)
	}
	out.body = body
	sc.counters.addServed(call.kind, len(call.body), len(body))
	return out
}

// run makes a fault of a handler's panic: the handler may have done part of the work.
func (sc *serverConn) run(ctx context.Context, call frame) (body []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			sc.log.Warn("peer_call_panicked", "kind", call.kind, "panic", p, "stack", string(debug.Stack()))
			err = fault.New(fault.Unsure, call.kind, "the handler failed", "report this")
		}
	}()
	return sc.mux.Serve(ctx, call.kind, call.body)
}

// reply writes a frame; one that can't be written completely ends the connection.
func (sc *serverConn) reply(f frame) {
	sc.writeMu.Lock()
	defer sc.writeMu.Unlock()
	_ = sc.conn.SetWriteDeadline(time.Now().Add(replyWriteTimeout.Duration()))
	if writeFrame(sc.w, f) != nil || sc.w.Flush() != nil {
		_ = sc.conn.Close()
	}
}
