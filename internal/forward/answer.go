package forward

import (
	"io"
	"math"
	"net/http"
	"time"

	"rowanshunt/internal/eventloop"
)

// Answer is a worker's answer whose head was read.
type Answer struct {
	Resp *http.Response
	s    *Sender
	c    *Circuit
	way  *Way
	slot int
	over bool
}

// Moved notes that the worker was heard, or is waited for again.
func (a *Answer) Moved() { a.way.movedUs.Store(eventloop.NowUs()) }

// Busy notes that it is not the worker that is waited for now.
func (a *Answer) Busy() { a.way.movedUs.Store(math.MaxInt64) }

// End gives the circuit back if the answer was read whole, else closes it.
func (a *Answer) End(whole bool) {
	if a.over {
		return
	}
	a.over = true
	a.s.Ways.Drop(a.slot)
	if whole && !a.way.cut.Load() {
		if a.Resp.StatusCode >= 200 && a.Resp.StatusCode < 500 && !a.way.blamed.Load() {
			a.s.Scout.Outcome(a.way.worker, true)
		}
		a.s.Circuits.Put(a.c, a.Resp)
	} else {
		a.s.Circuits.Drop(a.c)
	}
}

// unused gives the circuit back: nothing was sent on it.
func (a *Answer) unused() {
	a.over = true
	a.s.Ways.Drop(a.slot)
	if a.way.cut.Load() {
		a.s.Circuits.Drop(a.c)
		return
	}
	a.s.Circuits.Unused(a.c)
}

// What is read of a body that nobody wants, so that its circuit can be used
// again: so much, and for so long.
const (
	maxDiscard  = 64 << 10
	discardTime = 50 * time.Millisecond
)

// Discard ends an answer whose body is not wanted. The circuit is used again
// only if the end of the body was seen.
func (a *Answer) Discard() {
	if a.Resp.ContentLength < 0 || a.Resp.ContentLength > int64(a.c.br.Buffered()) {
		_ = a.c.conn.SetReadDeadline(time.Now().Add(discardTime))
	}
	a.End(discarded(a.Resp.Body, maxDiscard))
}

// discarded reads a body of at most most bytes away, false if its end was not
// seen.
func discarded(body io.Reader, most int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, most+1))
	return err == nil && n <= most
}
