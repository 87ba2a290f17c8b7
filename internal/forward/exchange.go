package forward

import (
	"context"
	"net/http"
	"time"

	"rowanshunt/internal/balancer"
	"rowanshunt/internal/clock"
	"rowanshunt/internal/config"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/fault"
)

// exchange is one request of a client and its response. It lives in the goroutine
// that serves the client's connection.
type exchange struct {
	forwarder    *Forwarder
	writer       http.ResponseWriter
	client       *http.Request
	route        *config.Route
	request      *Request
	requirements balancer.Requirements
	// prefillTokens are the tokens of shared prompt prefixes that a worker reads
	// before its first event.
	prefillTokens int64

	// Of the attempts so far. attempts counts those that use up the route's tries;
	// unsent those that ended before anything was sent.
	attempts   int64
	unsent     int
	mayHaveRun bool // a worker may have run the request
	failed     bool
	// shortageRecorded: the quota gate knows that this request waits for capacity
	// that its tenant is guaranteed.
	shortageRecorded bool

	// position changes under the lock of hedger while one attempt is made.
	position position
	hedger   hedger

	start     clock.Instant
	firstByte clock.Instant // of the first event or the response, 0 before it
}

// run makes attempts at workers until one responds, the route's tries are used up,
// or what was sent may have run and must not run again.
func (e *exchange) run() {
	defer e.hedger.stop()
	ctx := e.client.Context()
	for ended := false; !ended; {
		ended = e.step(ctx)
	}
}

// step picks a worker and makes one attempt there, or waits for capacity. It tells
// whether the client has its answer.
func (e *exchange) step(ctx context.Context) (ended bool) {
	if ctx.Err() != nil {
		abortConnection()
	}
	if time.Now().After(e.request.Deadline) {
		return e.fail(failure{timedOut: true})
	}
	if e.position.sentUnnumbered {
		return e.fail(failure{})
	}
	if e.attempts >= e.route.Tries {
		return e.waitOrFail(ctx, retryAttemptsUsedMs)
	}
	directory := e.forwarder.Sender.Directory()
	worker := e.pickWorker(directory)
	if worker == nil {
		return e.waitOrFail(ctx, e.retryNoWorkerMs(directory))
	}
	answered, err := e.attempt(ctx, worker)
	for !answered {
		if e.afterFailedAttempt(worker, directory, err) {
			return true
		}
		successor := e.hedger.awaitSuccessor()
		if successor == nil {
			return false
		}
		worker = successor.worker
		answered, err = e.follow(successor)
	}
	return true
}

// pickWorker asks the balancer for a worker, nil if there is none. A request that
// may be repeated goes to one that failed it before rather than nowhere.
func (e *exchange) pickWorker(directory *discovery.Directory) *discovery.Worker {
	if version := e.position.requiredVersion(); version > 0 {
		e.requirements.Version = version
	}
	worker := e.forwarder.Sender.Balancer.Pick(directory, &e.requirements)
	if worker == nil && len(e.requirements.Exclude) > 0 && e.route.Idempotent() {
		e.requirements.Exclude = nil
		worker = e.forwarder.Sender.Balancer.Pick(directory, &e.requirements)
	}
	return worker
}

// execution is what a failed attempt may have done at its worker. All that follows
// a failure depends on it alone.
//
//	fault of the attempt    execution    what follows
//	Unreached, Conflict     notSent      another worker; uses up no try
//	Refused, Invalid        notRun       another worker; uses up a try
//	Unsure                  mayHaveRun   another worker if the route is idempotent, else 502 or 504
//	anything else           mayHaveRun   the same: nothing is promised
type execution int

const (
	notSent    execution = iota // no byte of the request was sent
	notRun                      // the worker said that it did not run it, or it cannot be sent
	mayHaveRun                  // nothing promises that it did not run
)

// executionOf classifies the error of a failed attempt.
func executionOf(err error) execution {
	switch fault.KindOf(err) {
	case fault.Unreached, fault.Conflict:
		return notSent
	case fault.Refused, fault.Invalid:
		return notRun
	default: // Unsure, and whatever makes no promise
		return mayHaveRun
	}
}

// minUnsent is how many attempts may end unsent whatever the number of workers;
// half of a service's workers come on top.
const minUnsent = 3

// afterFailedAttempt decides whether another worker is tried.
func (e *exchange) afterFailedAttempt(worker *discovery.Worker, directory *discovery.Directory, err error) (ended bool) {
	executed := executionOf(err)
	if executed == notSent {
		e.unsent++
		if e.unsent > minUnsent+len(directory.ByService[e.requirements.Service])/2 {
			return e.fail(failure{retryAfterMs: retryUnsentMs})
		}
	} else {
		e.attempts++
	}
	e.requirements.Exclude = append(e.requirements.Exclude, worker.ID)
	if executed != mayHaveRun {
		return false
	}
	e.mayHaveRun = true
	if e.route.Idempotent() {
		return false
	}
	return e.fail(failure{timedOut: !time.Now().Before(e.request.Deadline)})
}

// Pauses that clients are asked to make after a failure, in milliseconds.
const (
	minRetryMs          = 100
	retryAttemptsUsedMs = 250
	retryUnsentMs       = 400
	defaultRetryMs      = 400
)

// retryNoWorkerMs is the pause after which a worker may be there: where none is
// known at all, once each had time to send a heartbeat.
func (e *exchange) retryNoWorkerMs(directory *discovery.Directory) int64 {
	if len(directory.ByService[e.requirements.Service]) == 0 && e.forwarder.HeartbeatMs > 0 {
		return e.forwarder.HeartbeatMs
	}
	return defaultRetryMs
}

// failure is why no attempt succeeded.
type failure struct {
	timedOut     bool
	retryAfterMs int64 // where the request has not run
}

// fail answers the client at once: with the promise that the request has not run
// where that is known, else without. It tells that the exchange has ended.
func (e *exchange) fail(why failure) (ended bool) {
	e.failed = true
	if e.position.headerSent {
		abortConnection()
	}
	switch {
	case !e.mayHaveRun:
		e.forwarder.Gate.RecordShortage(e.requirements.Service, e.client.Host)
		Reject(e.writer, http.StatusServiceUnavailable, max(why.retryAfterMs, minRetryMs), "no worker accepted it")
	case why.timedOut:
		http.Error(e.writer, "no answer in time", http.StatusGatewayTimeout)
	default:
		http.Error(e.writer, "the worker broke off", http.StatusBadGateway)
	}
	return true
}

// abortConnection ends the handler and closes the client's connection without the
// end of a response. net/http defines this panic for the purpose; in this package it is
// raised nowhere else.
func abortConnection() { panic(http.ErrAbortHandler) }

// recordOutcome counts the exchange for rolling upgrades, which pause when a
// service gets worse.
func (e *exchange) recordOutcome() {
	late := e.firstByte == 0 || e.route.GoalMs > 0 && e.firstByte.Sub(e.start) > clock.Micros(e.route.GoalMs)*clock.Millisecond
	e.forwarder.Sender.Balancer.Outcomes.Record(e.requirements.Service, late, e.failed || e.firstByte == 0)
}

// markFirstByte notes that the client gets something of the response.
func (e *exchange) markFirstByte() {
	if e.firstByte == 0 {
		e.firstByte = clock.Now()
	}
}
