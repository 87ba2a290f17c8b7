package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"rowanshunt/internal/balancer"
	"rowanshunt/internal/clock"
	"rowanshunt/internal/config"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/fault"
)

// Sender sends requests to workers and reads the headers of their responses. Any
// number of goroutines use it at a time.
type Sender struct {
	Directory func() *discovery.Directory
	Balancer  *balancer.Balancer
	Pool      *ConnPool
	// Configuration gives the configuration served, nil until this process has read the
	// register at a majority (node.servedConfiguration), also where one is applied already.
	Configuration func() *config.Configuration
	Attempts      *RecordTable[Attempt]
}

// How long a connection may have been idle when a request is sent on it (design
// 6.4).
const (
	// freshConnAge is for what cannot be repeated: workers forget a connection after
	// 0.3 s of rest at the least, and what is sent takes a while to arrive.
	freshConnAge = 250 * clock.Millisecond
	// anyConnAge is for all else: the pool's own time-out ends it sooner.
	anyConnAge = clock.Micros(1) << 50
)

// A node opens connections to a worker up to its share of what the worker accepts, less
// a tenth for connections that the worker counts as open a little longer.
const (
	connShareNumerator   = 9
	connShareDenominator = 10
	// defaultMaxConns is for a service whose configuration names no maximum.
	defaultMaxConns = 64
)

// maxConnsTo is this node's part of the connections that a worker of the service
// accepts (design 6.4).
func (s *Sender) maxConnsTo(service string) int {
	configuration := s.Configuration()
	if configuration == nil || configuration.Services[service] == nil || configuration.Services[service].MaxConn <= 0 {
		return defaultMaxConns
	}
	return max(int(configuration.Services[service].MaxConn*connShareNumerator/connShareDenominator/s.Balancer.EdgeCount()), 1)
}

// errConnForgotten: a connection that was idle ended before any byte of a response,
// and the request may be repeated.
var errConnForgotten = fault.New(fault.Unsure, "connection", "was forgotten by the worker", "send again on a new one")

// Send sends the request to the worker and reads the header of its response.
// onHang is called when the worker hangs (see Attempt). Faults: Unreached and Conflict, nothing was sent; Invalid, it cannot be;
// Refused, the worker did not run it; Unsure, it may have run (see execution).
func (s *Sender) Send(ctx context.Context, worker *discovery.Worker, request *Request, onHang func(*Attempt)) (*Response, error) {
	response, err := s.sendOnce(ctx, worker, request, onHang, anyConnAge)
	if !errors.Is(err, errConnForgotten) {
		return response, err
	}
	// Nothing of a response came on a connection that was idle: the worker had
	// forgotten it. A new one to the same worker follows (design 6.4).
	s.Pool.CloseIdle(worker.ID)
	response, err = s.sendOnce(ctx, worker, request, onHang, 0)
	if err != nil && !fault.Is(err, fault.Unsure) {
		// The second send promises nothing for the first.
		err = fault.New(fault.Unsure, worker.ID, "forgot its connection: "+err.Error(), "")
	}
	return response, err
}

// checkBeforeSend tells why the request must not be sent, right before it would be: its
// client left or has no time left, the worker left, or the claim on the request
// ended (design 6.3). Its faults promise that nothing was sent.
func (s *Sender) checkBeforeSend(ctx context.Context, worker *discovery.Worker, request *Request) error {
	switch {
	case ctx.Err() != nil:
		return fault.New(fault.Conflict, worker.ID, "nobody waits for the answer any more", "")
	case !time.Now().Before(request.Deadline):
		return fault.New(fault.Conflict, worker.ID, "no time was left before the request was sent", "")
	case s.Directory().ByID[worker.ID] == nil || request.StillValid != nil && !request.StillValid():
		return fault.New(fault.Conflict, worker.ID, "left before the request was sent", "try another worker")
	}
	return request.check(worker.ID)
}

// sendOnce sends the request on one connection that was idle for at most maxIdle.
func (s *Sender) sendOnce(ctx context.Context, worker *discovery.Worker, request *Request, onHang func(*Attempt), maxIdle clock.Micros) (*Response, error) {
	response, err := s.open(ctx, worker, request, onHang, maxIdle)
	if err != nil {
		return nil, err
	}
	sent := clock.Now()
	if err := s.checkBeforeSend(ctx, worker, request); err != nil {
		response.releaseUnsent()
		return nil, err
	}
	if err := s.write(ctx, worker, request, response); err != nil {
		return nil, err
	}
	response.HTTP, err = response.conn.readResponse(request)
	if err != nil {
		response.Release(false)
		if !errors.Is(err, errOtherRequest) {
			s.recordFailure(ctx, response)
		}
		return nil, fault.New(fault.Unsure, worker.ID, "no answer: "+err.Error(), "")
	}
	response.ResetSilenceTimer()
	response.attempt.gotHeader.Store(true)
	s.observeLoad(worker.ID, response.HTTP.Header)
	if err := s.checkRun(worker, response); err != nil {
		return nil, err
	}
	if response.HTTP.StatusCode < http.StatusInternalServerError {
		s.Balancer.FirstByte.Observe(worker.Svc, clock.Since(sent))
	} else {
		s.Balancer.RecordWorkerOutcome(worker.ID, false)
	}
	return response, nil
}

// open gets a connection and a slot in the table of attempts.
func (s *Sender) open(ctx context.Context, worker *discovery.Worker, request *Request, onHang func(*Attempt), maxIdle clock.Micros) (*Response, error) {
	if !request.Idempotent {
		maxIdle = min(maxIdle, freshConnAge)
	}
	conn, err := s.Pool.Get(ctx, worker, request.ID, s.maxConnsTo(worker.Svc), maxIdle)
	if err != nil {
		if fault.Is(err, fault.Unreached) && ctx.Err() == nil {
			s.Balancer.RecordUnreachable(worker.ID)
		}
		return nil, err
	}
	attempt := &Attempt{
		ctx:            ctx,
		conn:           conn,
		worker:         worker.ID,
		onHang:         onHang,
		headerTimeout:  s.Balancer.FirstByte.Slow(worker.Svc),
		silenceTimeout: silenceTimeoutFor(request.EventGapMs),
	}
	attempt.lastProgress.Store(int64(clock.Now()))
	attempt.stopWatch = context.AfterFunc(ctx, attempt.abort)
	// This deadline of the socket ends the attempt, a stream included, at the client's time
	// limit: a client's context has none. It is set before the attempt can be aborted by a
	// deadline in the past, which this one would replace.
	_ = conn.conn.SetDeadline(request.Deadline)
	slot, ok := s.Attempts.Put(attempt)
	if !ok {
		attempt.end()
		s.Pool.PutUnused(conn)
		return nil, fault.New(fault.Conflict, "attempts", "too many requests are under way", "try again later")
	}
	return &Response{sender: s, conn: conn, attempt: attempt, slot: slot}, nil
}

// write sends the request. On a connection that was used before, it also waits for
// the first byte of the response, to learn whether the worker had forgotten it.
func (s *Sender) write(ctx context.Context, worker *discovery.Worker, request *Request, response *Response) error {
	conn := response.conn
	err := request.write(conn.writer, worker.ID)
	if err == nil && conn.reused {
		_, err = conn.reader.Peek(1)
	}
	if err == nil {
		return nil
	}
	forgotten := conn.reused && request.Idempotent && !response.attempt.aborted.Load() && ctx.Err() == nil && time.Now().Before(request.Deadline)
	response.Release(false)
	if forgotten {
		return errConnForgotten
	}
	s.recordFailure(ctx, response)
	return fault.New(fault.Unsure, worker.ID, "broke off before an answer: "+err.Error(), "")
}

// checkRun returns a Refused fault, and discards the response, where the worker says
// that it did not run the request.
func (s *Sender) checkRun(worker *discovery.Worker, response *Response) error {
	status := response.HTTP.StatusCode
	if response.HTTP.Header.Get(HeaderNotRun) == "" && status != http.StatusMisdirectedRequest {
		return nil
	}
	response.Discard()
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		s.Balancer.MarkFull(worker.ID)
	case http.StatusMisdirectedRequest:
		s.Balancer.RecordUnreachable(worker.ID)
	}
	return fault.New(fault.Refused, strconv.Itoa(status), "the worker did not run it", "")
}

// recordFailure counts a response that broke off against its worker, unless the client
// disconnected.
func (s *Sender) recordFailure(ctx context.Context, response *Response) {
	if ctx.Err() != nil {
		return
	}
	if !response.attempt.failureRecorded.Swap(true) {
		s.Balancer.RecordWorkerOutcome(response.attempt.worker, false)
	}
	if response.attempt.aborted.Load() {
		s.recordHang(response.attempt)
		return
	}
	s.Balancer.RecordBreak(response.attempt.worker)
}

// observeLoad reads the load that a worker reports: running, waiting and slots.
func (s *Sender) observeLoad(worker string, header http.Header) {
	parts := strings.Split(header.Get(HeaderWorkerLoad), ",")
	if len(parts) != 3 {
		return
	}
	var load [3]int64
	for i, part := range parts {
		value, err := strconv.ParseInt(strings.TrimSpace(part), 10, 64)
		if err != nil {
			return
		}
		load[i] = value
	}
	s.Balancer.ObserveLoad(worker, load[0], load[1], load[2])
}
