package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"rowanshunt/internal/balancer"
	"rowanshunt/internal/clock"
	"rowanshunt/internal/config"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/fault"
)

// Attempt is the record of a request that is at a worker. The goroutine that sends
// the request and Sweep share it: what both write is atomic, the rest is set before
// the record is put into the table.
type Attempt struct {
	ctx    context.Context
	conn   *Conn
	worker string
	// onHang is what Sweep calls, under the lock of the table, each time that it finds the
	// attempt hanging. nil: nothing is done then.
	onHang func(*Attempt)
	// stopWatch ends the watch that aborts the attempt when ctx ends.
	stopWatch func() bool
	// headerTimeout: a header that takes longer counts as a failure of the worker.
	headerTimeout clock.Micros
	// silenceTimeout: so does a pause of this length behind the header.
	silenceTimeout clock.Micros

	lastProgress    atomic.Int64 // a clock.Instant; pausedProgress while the client is written to
	gotHeader       atomic.Bool
	failureRecorded atomic.Bool // at most one failure is counted for an attempt
	hung            atomic.Bool // Sweep has found it hanging
	aborted         atomic.Bool // nothing more is read of it

	connMu sync.Mutex
	ended  bool // the connection was given back; guarded by connMu
}

// silence is how long nothing came of the attempt; below 0 while it is paused.
func (a *Attempt) silence(now clock.Instant) clock.Micros {
	return now.Sub(clock.Instant(a.lastProgress.Load()))
}

// isLate tells whether the worker keeps the request waiting longer than usual.
func (a *Attempt) isLate(now clock.Instant) bool {
	if a.gotHeader.Load() {
		return a.silence(now) > a.silenceTimeout
	}
	return a.silence(now) > a.headerTimeout
}

// mayRetry tells whether the request may be tried elsewhere although it was sent: it is
// idempotent and a try is left.
func (e *exchange) mayRetry() bool { return e.route.Idempotent() && e.attempts+1 < e.route.Tries }

// attempt sends the request to one worker and passes its response on. answered: the
// client has its answer, and err is nil. Otherwise executionOf(err) says what may
// have happened at the worker.
func (e *exchange) attempt(ctx context.Context, worker *discovery.Worker) (answered bool, err error) {
	sender := e.forwarder.Sender
	first := newUpstream(sender.Balancer, worker, e.prefillTokens)
	defer first.release()
	e.position.setContinuationHeaders(e.request.Header)
	first.response, err = sender.Send(ctx, worker, e.request, e.hedger.begin())
	if err != nil {
		return false, err
	}
	return e.passOn(first)
}

// follow passes on the response of a worker that took over from a silent one. Its results
// are those of attempt.
func (e *exchange) follow(successor *upstream) (answered bool, err error) {
	defer successor.release()
	e.hedger.begin()
	successor.response.ResetSilenceTimer()
	return e.passOn(successor)
}

// passOn passes a worker's response on. Its results are those of attempt.
func (e *exchange) passOn(from *upstream) (answered bool, err error) {
	response := from.response
	switch {
	case e.route.Type == config.Stream && response.HTTP.StatusCode == http.StatusOK:
		return e.stream(from)
	case e.position.headerSent:
		// The client is amid a stream; another kind of response cannot continue it.
		response.Discard()
		return false, fault.New(fault.Unsure, from.worker.ID, "does not go on with the stream", "")
	case response.HTTP.StatusCode >= http.StatusInternalServerError && e.mayRetry():
		response.Discard()
		return false, fault.New(fault.Unsure, from.worker.ID, "failed", "")
	}
	return e.unary(response)
}

// prefill is the load that the reading of a prompt puts on a worker until its first
// event. It belongs to one goroutine.
type prefill struct {
	balancer *balancer.Balancer
	worker   string
	tokens   int64
	ended    bool
}

// startPrefill adds the prompt's tokens to the worker's load.
func startPrefill(b *balancer.Balancer, worker string, tokens int64) *prefill {
	b.AddPrefill(worker, tokens)
	return &prefill{balancer: b, worker: worker, tokens: tokens}
}

// end removes the tokens from the worker's load again, once.
func (p *prefill) end() {
	if p.ended {
		return
	}
	p.ended = true
	p.balancer.AddPrefill(p.worker, -p.tokens)
}
