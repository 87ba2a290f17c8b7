package forward

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"

	"rowanshunt/internal/balancer"
	"rowanshunt/internal/clock"
	"rowanshunt/internal/config"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/fault"
)

// hedgePause is between two searches for another worker while the first stays silent.
const hedgePause = 250 * clock.Millisecond

// errTakenOver: another worker's response replaces that of this attempt.
var errTakenOver = fault.New(fault.Unsure, "attempt", "was taken over by another worker", "")

// hedger looks for a second worker while the one that has the request is silent. The
// first attempt goes on meanwhile: a silent worker may be lost, or may make the request
// wait until another one has ended, and all others may be full. So an attempt is given up
// only once another worker responds (design 6.8).
//
// The goroutine of the exchange, Sweep and the goroutine of a search share it.
type hedger struct {
	exchange *exchange
	searches conc.WaitGroup

	mu sync.Mutex
	// closed: the exchange answers the client or has ended; nothing is searched for.
	closed bool
	search *search // under way, nil if none is
	// successor responds in place of the worker before, nil if none does.
	successor *upstream
	nextStart clock.Instant // no search before
	// Of the searches during one attempt of the exchange.
	maxWorkers int64    // how many other workers may be sent the request
	rejectedBy []string // sent the request, and said that they did not run it
	failedAt   []string // may have run it
	unsent     []string // could not be sent it
}

// search is one attempt at a second worker. Its fields are set when it starts.
type search struct {
	hedger  *hedger
	primary *Attempt
	// position is how far the response was when the search began.
	position     position
	requirements balancer.Requirements // leave out the workers that failed
	mayTryOthers bool                  // than those of rejectedBy
	rejectedBy   []string
	request      Request
	cancel       context.CancelFunc
	done         chan struct{}
	worker       string // guarded by hedger.mu; empty until one is picked
}

// begin is called before each attempt. The result is what Sweep calls when the attempt
// hangs: nil where no other worker may be tried.
func (h *hedger) begin() func(*Attempt) {
	e := h.exchange
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rejectedBy, h.failedAt, h.unsent = nil, nil, nil
	h.maxWorkers = 0
	if !e.mayRetry() {
		return nil
	}
	h.maxWorkers = e.route.Tries - e.attempts - 1
	return h.onHang
}

// onHang starts a search for the attempt that hangs. A second attempt that hangs itself
// is ended, if there may be a third.
func (h *hedger) onHang(attempt *Attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.successor != nil || attempt.ctx.Err() != nil {
		return
	}
	if h.search != nil {
		if attempt.worker == h.search.worker && h.workersLeft() > 1 {
			attempt.abort()
		}
		return
	}
	now := clock.Now()
	if now < h.nextStart {
		return
	}
	if h.workersLeft() > 0 || len(h.rejectedBy) > 0 {
		h.nextStart = now.Add(hedgePause)
		h.start(attempt)
	}
}

// workersLeft is how many workers that have not had the request may still be sent it.
func (h *hedger) workersLeft() int64 {
	return h.maxWorkers - int64(len(h.rejectedBy)+len(h.failedAt))
}

// start runs a search. h.mu is held.
func (h *hedger) start(primary *Attempt) {
	e := h.exchange
	ctx, cancel := context.WithCancel(e.client.Context())
	s := &search{
		hedger:       h,
		primary:      primary,
		position:     e.position,
		requirements: e.requirements,
		mayTryOthers: h.workersLeft() > 0,
		rejectedBy:   slices.Clone(h.rejectedBy),
		request:      *e.request,
		cancel:       cancel,
		done:         make(chan struct{}),
	}
	s.requirements.Exclude = slices.Concat(e.requirements.Exclude, []string{primary.worker}, h.failedAt, h.unsent)
	if version := e.position.requiredVersion(); version > 0 {
		s.requirements.Version = version
	}
	s.request.Header = e.request.Header.Clone()
	h.search = s
	h.searches.Go(func() {
		defer close(s.done)
		s.run(ctx)
	})
}

// pick selects a second worker: one that has not had the request yet, and where there is
// none or the route allows no more of them, one that did not run it. nil if none will do.
func (s *search) pick() *discovery.Worker {
	sender := s.hedger.exchange.forwarder.Sender
	if s.mayTryOthers {
		others := s.requirements
		others.Exclude = slices.Concat(others.Exclude, s.rejectedBy)
		if worker := sender.Balancer.Pick(sender.Directory(), &others); worker != nil {
			return worker
		}
	}
	if len(s.rejectedBy) == 0 {
		return nil
	}
	again := s.requirements
	again.Only = s.rejectedBy
	return sender.Balancer.Pick(sender.Directory(), &again)
}

// run sends the request to a second worker and offers its response to the exchange.
func (s *search) run(ctx context.Context) {
	h := s.hedger
	sender := h.exchange.forwarder.Sender
	worker := s.pick()
	if worker == nil {
		s.cancel()
		h.finish(s, nil)
		return
	}
	h.mu.Lock()
	s.worker = worker.ID
	h.mu.Unlock()
	s.position.setContinuationHeaders(s.request.Header)
	second := newUpstream(sender.Balancer, worker, h.exchange.prefillTokens)
	second.cancel = s.cancel
	var err error
	second.response, err = sender.Send(ctx, worker, &s.request, h.onHang)
	if err == nil {
		err = s.awaitResponse(second)
	}
	if err != nil || !h.takeOver(s, second) {
		second.release()
	}
	h.finish(s, err)
}

// awaitResponse waits until it is certain that the second worker serves the request: for
// a stream until its first event is complete.
func (s *search) awaitResponse(second *upstream) error {
	response := second.response
	status := response.HTTP.StatusCode
	if s.hedger.exchange.route.Type == config.Stream && status == http.StatusOK {
		if err := s.position.checkHeader(response); err != nil {
			return err
		}
		err := second.readAhead(&s.position)
		response.PauseSilenceTimer() // until the exchange takes it over
		return err
	}
	if s.position.headerSent || status >= http.StatusInternalServerError || claimsNotRun(status) {
		return fault.New(fault.Unsure, second.worker.ID, "does not serve the request", "")
	}
	return nil
}

// takeOver makes the second worker's response that of the exchange and ends the silent
// attempt, false if that one went on meanwhile.
func (h *hedger) takeOver(s *search, second *upstream) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.search != s {
		return false
	}
	h.successor = second
	s.primary.abort()
	return true
}

// finish counts a search that ended. err is why the second worker did not respond, nil if
// it did or none was found.
func (h *hedger) finish(s *search, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.search != s {
		return
	}
	h.search = nil
	if err == nil {
		return
	}
	switch executionOf(err) {
	case notSent:
		h.unsent = append(h.unsent, s.worker)
	case notRun:
		if !slices.Contains(h.rejectedBy, s.worker) {
			h.rejectedBy = append(h.rejectedBy, s.worker)
		}
	case mayHaveRun:
		h.rejectedBy = slices.DeleteFunc(h.rejectedBy, func(id string) bool { return id == s.worker })
		h.failedAt = append(h.failedAt, s.worker)
	}
}

// advance notes that the attempt of the exchange goes on, and runs update on the
// position of the response. A search under way is dropped. false: another worker has
// taken over, and nothing of this attempt may be passed on any more.
func (h *hedger) advance(update func(*position)) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		return false
	}
	h.dropSearch()
	update(&h.exchange.position)
	return true
}

// dropSearch cancels the search under way. Its worker counts as sent the request. h.mu
// is held.
func (h *hedger) dropSearch() {
	if h.search == nil {
		return
	}
	h.search.cancel()
	if worker := h.search.worker; worker != "" && !slices.Contains(h.rejectedBy, worker) {
		h.failedAt = append(h.failedAt, worker)
	}
	h.search = nil
}

// close ends all searches before the client is answered, false if another worker has
// taken over.
func (h *hedger) close() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		return false
	}
	h.closed = true
	h.dropSearch()
	return true
}

// stop ends what is left of the searches when the exchange ends.
func (h *hedger) stop() {
	h.mu.Lock()
	h.closed = true
	h.dropSearch()
	successor := h.successor
	h.successor = nil
	h.mu.Unlock()
	h.searches.Wait()
	if successor != nil {
		successor.release()
	}
}

// awaitSuccessor is called when an attempt has failed. It waits for the search under way,
// if there is one, counts the workers that were tried, and returns the response that
// takes over, nil if none does.
func (h *hedger) awaitSuccessor() *upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.search; s != nil {
		h.mu.Unlock()
		<-s.done
		h.mu.Lock()
	}
	e := h.exchange
	successor := h.successor
	h.successor = nil
	e.attempts += int64(len(h.rejectedBy) + len(h.failedAt))
	e.unsent += len(h.unsent)
	e.mayHaveRun = e.mayHaveRun || len(h.failedAt) > 0
	e.requirements.Exclude = slices.Concat(e.requirements.Exclude, h.rejectedBy, h.failedAt, h.unsent)
	h.rejectedBy, h.failedAt, h.unsent = nil, nil, nil
	return successor
}
