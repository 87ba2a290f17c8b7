package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rowanshunt/internal/forward"
)

// TimeoutsFunc gives the time-outs in force for reading a header and for idle connections.
type TimeoutsFunc func() (header, idle time.Duration)

// Placeholders stand in the options of an http.Server for time-outs that change while it
// runs. The server computes read deadlines from them, and the connection replaces each by
// the one in force (design 11.5).
const (
	idlePlaceholder   = 1 * time.Hour
	headerPlaceholder = 3 * time.Hour
	placeholderMargin = 30 * time.Minute

	// maxHandlerDeadline is the longest read deadline, from now, that a handler may set:
	// a longer one would be taken for a placeholder.
	maxHandlerDeadline = idlePlaceholder - placeholderMargin
)

// This does not compile if the deadline for a request's body can exceed
// maxHandlerDeadline.
const _ = uint64(maxHandlerDeadline - forward.MaxBodyReadTime)

// deadlineKind says what a read deadline is for.
type deadlineKind int

const (
	handlerDeadline deadlineKind = iota // set by a handler, or past; used as it is
	idleDeadline                        // set by the server: the next request's first byte
	headerDeadline                      // set by the server: the end of a request's header
)

// deadlineKindOf recognizes a deadline by the time that is left until it. The server and
// handlers set deadlines by the same method of the connection, so nothing else tells
// them apart. A deadline of the server may be set up to placeholderMargin late.
func deadlineKindOf(left time.Duration) deadlineKind {
	switch {
	case left > headerPlaceholder-placeholderMargin:
		return headerDeadline
	case left > maxHandlerDeadline:
		return idleDeadline
	}
	return handlerDeadline
}

// boundedListener closes connections over its bound before anything is read of them, so
// that their clients may safely retry elsewhere (design 11.2).
type boundedListener struct {
	net.Listener
	maxConns int64
	open     atomic.Int64
	timeouts TimeoutsFunc // nil: deadlines are used as the server sets them
}

// Accept returns the next connection within the bound.
func (b *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if b.open.Add(1) <= b.maxConns {
			return &boundedConn{Conn: conn, listener: b}, nil
		}
		b.open.Add(-1)
		_ = conn.Close()
	}
}

// boundedConn counts against its listener's bound until it is closed.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	closing  sync.Once
	// promisedIdle is the idle time-out that was last announced to the client, a
	// time.Duration; 0 if none was.
	promisedIdle atomic.Int64
}

// SetReadDeadline replaces the placeholders by the time-outs in force. An idle connection
// is kept at least as long as was promised.
func (b *boundedConn) SetReadDeadline(deadline time.Time) error {
	if b.listener.timeouts == nil || deadline.IsZero() {
		return b.Conn.SetReadDeadline(deadline)
	}
	header, idle := b.listener.timeouts()
	switch deadlineKindOf(time.Until(deadline)) {
	case headerDeadline:
		deadline = deadline.Add(header - headerPlaceholder)
	case idleDeadline:
		promised := time.Duration(b.promisedIdle.Load())
		deadline = deadline.Add(max(idle, promised) - idlePlaceholder)
	case handlerDeadline:
	}
	return b.Conn.SetReadDeadline(deadline)
}

// Close closes the connection and, the first time, frees its place under the bound.
func (b *boundedConn) Close() error {
	b.closing.Do(func() { b.listener.open.Add(-1) })
	return b.Conn.Close()
}
