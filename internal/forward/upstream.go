package forward

import (
	"io"

	"github.com/go-faster/errors"

	"rowanshunt/internal/balancer"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/fault"
)

// upstream is a worker that was picked for a request, and its response. It belongs to
// one goroutine at a time.
type upstream struct {
	worker   *discovery.Worker
	balancer *balancer.Balancer
	prefill  *prefill
	response *Response // nil until the worker's header was read
	cancel   func()    // ends the context of the attempt; nil: it is the client's
	// Of a stream of which an event was read ahead.
	events *eventReader
	first  *Event
}

// newUpstream is for a worker that the balancer picked.
func newUpstream(b *balancer.Balancer, worker *discovery.Worker, prefillTokens int64) *upstream {
	return &upstream{worker: worker, balancer: b, prefill: startPrefill(b, worker.ID, prefillTokens)}
}

// release gives back all that is held of the worker.
func (u *upstream) release() {
	u.prefill.end()
	if u.response != nil {
		u.response.Release(false)
	}
	if u.events != nil {
		u.events.release()
		u.events = nil
	}
	u.balancer.Done(u.worker.ID, false)
	if u.cancel != nil {
		u.cancel()
	}
}

// nextEvent is the next event of the worker's stream, io.EOF at its end. It stays valid
// until the next call.
func (u *upstream) nextEvent() (Event, error) {
	if event := u.first; event != nil {
		u.first = nil
		return *event, nil
	}
	if u.events == nil {
		u.events = newEventReader(u.response.HTTP.Body)
	}
	return u.events.next()
}

// readAhead reads the first event of a stream that is to continue at the position. A
// stream that ends without one has nothing left to send.
func (u *upstream) readAhead(at *position) error {
	event, err := u.nextEvent()
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return fault.New(fault.Unsure, u.worker.ID, "the stream broke off: "+err.Error(), "")
	}
	u.first = &event
	return at.checkEvent(&event, u.worker.ID)
}
