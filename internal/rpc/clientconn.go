package rpc

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"rowanshunt/internal/fault"
)

// connBufferBytes is the buffer of a connection for each direction. Most messages
// fit; a node may have a connection to each other node, so it is small.
const connBufferBytes = 4 << 10

// errNotSent is the error of a call whose time ended before its frame was written.
var errNotSent = errors.New("no time was left before the call was sent")

// clientConn carries the calls to one peer, numbered, and gets their replies in any
// order (design 2.1). Once it is broken it stays so: each call that waits on it, and
// each later one, ends.
type clientConn struct {
	conn  net.Conn
	calls *callTable

	writeMu sync.Mutex // one frame at a time
	w       *bufio.Writer
}

func newClientConn(conn net.Conn) *clientConn {
	return &clientConn{conn: conn, calls: newCallTable(), w: bufio.NewWriterSize(conn, connBufferBytes)}
}

// call sends a call and waits for its reply or fault. An Unreached fault says that
// nothing of the call was sent.
func (cc *clientConn) call(ctx context.Context, kind string, body []byte) (frame, error) {
	if err := checkFrame(kind, body); err != nil {
		return frame{}, err // nothing was sent, and the other calls go on
	}
	id, reply, err := cc.calls.add()
	if err != nil {
		return frame{}, fault.New(fault.Unreached, kind, "the connection is broken", "try again")
	}
	if err := cc.send(ctx, frame{typ: frameCall, callID: id, kind: kind, body: body}); err != nil {
		return frame{}, err
	}
	select {
	case f, ok := <-reply:
		if !ok {
			return frame{}, fault.New(fault.Unsure, kind, "the connection broke before the answer", "try again")
		}
		return f, nil
	case <-ctx.Done():
		cc.calls.forget(id)
		return frame{}, fault.New(fault.Unsure, kind, "no answer in time", "try again")
	}
}

// send writes the frame of a call. A write that fails may have sent a part of the
// frame, so it breaks the connection.
func (cc *clientConn) send(ctx context.Context, f frame) error {
	err := cc.write(ctx, f)
	if errors.Is(err, errNotSent) {
		cc.calls.forget(f.callID)
		return fault.New(fault.Unreached, f.kind, err.Error(), "try again")
	}
	if err != nil {
		cc.fail(err)
		return fault.New(fault.Unsure, f.kind, err.Error(), "try again")
	}
	return nil
}

func (cc *clientConn) write(ctx context.Context, f frame) error {
	cc.writeMu.Lock()
	defer cc.writeMu.Unlock()
	if ctx.Err() != nil {
		return errNotSent // the calls before this one took all of its time
	}
	_ = cc.conn.SetWriteDeadline(time.Now().Add(userTimeout.Duration()))
	if err := writeFrame(cc.w, f); err != nil {
		return err
	}
	return cc.w.Flush()
}

// readReplies hands the replies to their calls until the connection breaks.
func (cc *clientConn) readReplies() {
	r := bufio.NewReaderSize(cc.conn, connBufferBytes)
	for {
		f, err := readFrame(r)
		if err == nil {
			err = cc.calls.resolve(f)
		}
		if err != nil {
			cc.fail(err)
			return
		}
	}
}

// fail breaks the connection: it ends each call that waits on it, and the next call
// is not added.
func (cc *clientConn) fail(err error) {
	waiting := cc.calls.fail(err)
	_ = cc.conn.Close()
	for _, reply := range waiting {
		close(reply)
	}
}

func (cc *clientConn) broken() bool { return cc.calls.failed() != nil }
