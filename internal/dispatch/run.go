package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"rowanshunt/internal/balancer"
	"rowanshunt/internal/batch"
	"rowanshunt/internal/clock"
	"rowanshunt/internal/config"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/forward"
)

// Times and bounds of a run.
const (
	// firstWorkerTimeout is how long an item may look for its first worker; then another
	// node may have one.
	firstWorkerTimeout = 400 * clock.Millisecond
	// maxBreaks is how often a run may be interrupted before its item is nacked.
	maxBreaks = 8

	// Pauses before the next attempt.
	noWorkerPause     = 60 * time.Millisecond
	interruptedPause  = 20 * time.Millisecond
	notSentPause      = 15 * time.Millisecond
	unpermittedPause  = 100 * time.Millisecond // until a poll renews the permission
	redeliveryDelayUs = 150_000                // asked for with a nack, in microseconds
)

// runEnd is how a run ended.
type runEnd int

const (
	unfinished runEnd = iota
	done              // the text is complete
	rejected          // a worker says that it can never be done
	failed            // a worker answered 500: the attempt counts
	released          // another node may run it
)

// run is one item on its way through this node. It belongs to one goroutine.
type run struct {
	dispatcher *Dispatcher
	key        itemKey
	delivery   *batch.DeliveredItem
	deadline   clock.Instant // of the item
	start      clock.Instant
	header     http.Header
	prefixes   []balancer.PrefixSegment
	text       *forward.ItemText
	exclude    []string // workers already tried
	breaks     int
}

func newRun(d *Dispatcher, key itemKey, delivery *batch.DeliveredItem, deadline clock.Instant) *run {
	header := http.Header{}
	for i := 0; i+1 < len(delivery.Item.Hdrs); i += 2 {
		header.Set(delivery.Item.Hdrs[i], delivery.Item.Hdrs[i+1])
	}
	return &run{
		dispatcher: d,
		key:        key,
		delivery:   delivery,
		deadline:   deadline,
		start:      clock.Now(),
		header:     header,
		prefixes:   balancer.ParsePrefixSegments(header.Get(forward.HeaderPromptPrefix)),
		text:       &forward.ItemText{},
	}
}

// execute brings the item to its end here and acks or nacks it.
func (r *run) execute(ctx context.Context) {
	defer r.dispatcher.inFlight.remove(r.key)
	ended := unfinished
	for ended == unfinished && ctx.Err() == nil && clock.Now() < r.deadline {
		ended = r.attempt(ctx)
	}
	if ended == unfinished || ctx.Err() != nil && ended == failed {
		// Its time is over, or it was cancelled: the owner may deliver it to another node.
		ended = released
	}
	switch ended {
	case done:
		r.ack(batch.PhaseDone)
	case rejected:
		r.text.Body = nil
		r.ack(batch.PhaseDeadLettered)
	default:
		r.nack(ended == failed)
	}
}

// attempt makes one attempt at a worker, or waits for one.
func (r *run) attempt(ctx context.Context) runEnd {
	configuration := r.dispatcher.Configuration()
	route := findRoute(configuration, r.delivery)
	if route == nil {
		return released
	}
	service := route.Pick(rand.Uint64())
	ticket, admitted := r.dispatcher.Gate.AdmitItem(service, r.delivery.Host, r.delivery.Item.Toks, r.preempt)
	if !admitted {
		return released
	}
	directory := r.dispatcher.Sender.Directory()
	worker := r.dispatcher.Sender.Balancer.Pick(directory, &balancer.Requirements{
		Service: service, Prefixes: r.prefixes, Exclude: r.exclude, Item: true, Version: r.text.WeightVersion,
	})
	if worker == nil {
		ticket.Release()
		return r.waitForWorker(ctx, directory, route)
	}
	r.dispatcher.inFlight.markAssigned(r.key)
	outcome := r.send(ctx, worker, configuration)
	ticket.Release()
	return r.afterAttempt(ctx, outcome, worker)
}

// findRoute is the item's route, nil if it has none any more.
func findRoute(configuration *config.Configuration, delivery *batch.DeliveredItem) *config.Route {
	if configuration == nil {
		return nil
	}
	return configuration.Find(delivery.Host, delivery.Item.Path)
}

// waitForWorker decides how the run goes on while no worker can be picked.
func (r *run) waitForWorker(ctx context.Context, directory *discovery.Directory, route *config.Route) runEnd {
	r.exclude = nil
	if r.text.HasEvents && r.text.WeightVersion > 0 && !r.dispatcher.Sender.Balancer.HasVersion(directory, route, r.text.WeightVersion) {
		// No worker has the weights that the text began with. It begins anew, for a text
		// is of one version (design 13.5).
		r.text.Restart()
		return unfinished
	}
	if !r.text.HasEvents && clock.Since(r.start) > firstWorkerTimeout {
		return released
	}
	clock.Sleep(ctx, noWorkerPause)
	return unfinished
}

// send runs the item at a worker, continuing the text that is there.
func (r *run) send(ctx context.Context, worker *discovery.Worker, configuration *config.Configuration) forward.ItemOutcome {
	sender := r.dispatcher.Sender
	defer sender.Balancer.Done(worker.ID, true)
	timeLeftMs := func() int64 { return r.deadline.Sub(clock.Now()).Milliseconds() }
	request := &forward.Request{
		Method:     http.MethodPost,
		Target:     r.delivery.Item.Path,
		Host:       r.delivery.Host,
		Header:     r.header.Clone(),
		Body:       r.delivery.Item.Body,
		ID:         r.delivery.Item.ID,
		Idempotent: true,
		TimeLeftMs: timeLeftMs,
		Deadline:   time.Now().Add(time.Duration(timeLeftMs()) * time.Millisecond),
		StillValid: func() bool { return r.maySendTo(worker, configuration) },
	}
	start := clock.Now()
	outcome, err := sender.RunItem(ctx, worker, request, r.text)
	if outcome == forward.ItemCompleted {
		sender.Balancer.ObserveItemTime(worker.Svc, clock.Since(start))
	}
	if err != nil {
		r.dispatcher.Log.Debug("item_attempt_ended", "job", r.delivery.Job, "item", r.delivery.Item.ID, "worker", worker.ID, "err", err)
	}
	return outcome
}

// maySendTo is asked right before the item is sent: its delivery must be valid still,
// and its route must still go to the worker's service.
func (r *run) maySendTo(worker *discovery.Worker, picked *config.Configuration) bool {
	if !r.dispatcher.inFlight.maySend(r.key) {
		return false
	}
	configuration := r.dispatcher.Configuration()
	if configuration == picked {
		return true
	}
	route := findRoute(configuration, r.delivery)
	return route != nil && route.SendsTo(worker.Svc)
}

// afterAttempt decides what follows an attempt.
func (r *run) afterAttempt(ctx context.Context, outcome forward.ItemOutcome, worker *discovery.Worker) runEnd {
	switch outcome {
	case forward.ItemCompleted:
		return done
	case forward.ItemRejected:
		return rejected
	case forward.ItemFailed:
		return failed
	case forward.ItemInterrupted:
		r.breaks++
		if r.breaks >= maxBreaks {
			return released
		}
		clock.Sleep(ctx, interruptedPause)
	case forward.ItemNotSent:
		switch {
		case r.dispatcher.inFlight.maySend(r.key):
			clock.Sleep(ctx, notSentPause)
		case r.text.HasEvents:
			clock.Sleep(ctx, unpermittedPause)
		default:
			return released
		}
	}
	r.exclude = append(r.exclude, worker.ID)
	return unfinished
}

// preempt ends the run because its tenant borrowed the capacity: the item is nacked
// and no attempt is charged (design 17.4). The gate calls it under its lock, so the
// table is used from a goroutine of its own, which ends at once.
func (r *run) preempt() { go r.dispatcher.inFlight.cancel(r.key) }
