package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"rowanshunt/internal/balancer"
	"rowanshunt/internal/clock"
	"rowanshunt/internal/config"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/quota"
)

// Forwarder serves clients' requests. Its fields are set before the first request;
// any number of requests use it at a time.
type Forwarder struct {
	Sender *Sender
	// Configuration gives the configuration served, nil until this process has read the
	// register at a majority (node.servedConfiguration), also where one is applied already.
	Configuration func() *config.Configuration
	Log           *logging.Log
	// MaxBodyBytes bounds what the bodies in flight hold together; 0: no bound.
	MaxBodyBytes int64
	// HeartbeatMs is the period of workers' heartbeats, in milliseconds.
	HeartbeatMs int64
	// Gate keeps requests to their tenants' quota shares (design 17.4).
	Gate *quota.Gate

	bodyBytesInUse atomic.Int64
}

// Pauses that clients are asked to make before they come again, in milliseconds.
const (
	retryNoConfigurationMs = 500
	retryBodyMs            = 300
	// retryOverQuotaMs is long enough for the node to get a newer quota grant
	// (design 17.4).
	retryOverQuotaMs = 300
)

// maxRequestIDBytes bounds the id that a client gives a request.
const maxRequestIDBytes = 256

// Reject answers that the request has not run and never will, and when to come
// back (design 6.7).
func Reject(w http.ResponseWriter, status int, retryAfterMs int64, why string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(float64(retryAfterMs)/1000, 'f', 3, 64))
	http.Error(w, why, status)
}

// ServeHTTP forwards one request: route, time left, body, quota, and then the
// attempts at workers.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	configuration := f.Configuration()
	if configuration == nil {
		Reject(w, http.StatusServiceUnavailable, retryNoConfigurationMs, "no configuration yet")
		return
	}
	route := configuration.Find(r.Host, r.RequestURI)
	if route == nil {
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	if route.Type == config.Bulk {
		// It became one after the ingress looked: no batch job goes out as a request.
		Reject(w, http.StatusServiceUnavailable, minRetryMs, "the route takes batch jobs now")
		return
	}
	leftMs, ok := ReadTimeLeft(w, r, route)
	if !ok {
		return
	}
	deadline := time.Now().Add(time.Duration(leftMs) * time.Millisecond)
	body, status := f.readBody(w, r, configuration.Caps.PayloadBytes, deadline)
	defer f.bodyBytesInUse.Add(-int64(len(body)))
	if status != 0 {
		rejectBody(w, status)
		return
	}
	e := f.newExchange(w, r, route, body, deadline)
	defer e.recordOutcome()
	if f.Gate.Active(e.requirements.Service) {
		ticket, admitted := f.Gate.Admit(e.requirements.Service, r.Host, sumTokens(r.Header.Get(HeaderTokens)))
		if !admitted {
			e.failed = true
			Reject(w, http.StatusServiceUnavailable, retryOverQuotaMs, "over its tenant's share while others need the capacity")
			return
		}
		defer ticket.Release()
	}
	e.run()
}

// ReadTimeLeft is how long the client waits, in milliseconds: at most the route's
// limit. A request without an id, or with a time that is no number, is answered 400,
// and ok is false.
func ReadTimeLeft(w http.ResponseWriter, r *http.Request, route *config.Route) (leftMs int64, ok bool) {
	if id := r.Header.Get(HeaderRequestID); id == "" || len(id) > maxRequestIDBytes {
		http.Error(w, HeaderRequestID+" is missing", http.StatusBadRequest)
		return 0, false
	}
	header := r.Header.Get(HeaderTimeLeft)
	if header == "" {
		return route.LimitMs, true
	}
	leftMs, err := strconv.ParseInt(header, 10, 64)
	if err != nil || leftMs < 0 {
		http.Error(w, HeaderTimeLeft+" is no number of milliseconds", http.StatusBadRequest)
		return 0, false
	}
	return min(leftMs, route.LimitMs), true
}

// rejectBody answers a request whose body could not be read.
func rejectBody(w http.ResponseWriter, status int) {
	switch status {
	case http.StatusServiceUnavailable, http.StatusRequestTimeout:
		w.Header().Set("Connection", "close")
		Reject(w, status, retryBodyMs, "the body was not accepted")
	default:
		http.Error(w, "the body cannot be accepted", status)
	}
}

// newExchange reads what the attempts need from the client's request.
func (f *Forwarder) newExchange(w http.ResponseWriter, r *http.Request, route *config.Route, body []byte, deadline time.Time) *exchange {
	e := &exchange{forwarder: f, writer: w, client: r, route: route, start: clock.Now()}
	e.hedger.exchange = e
	e.request = &Request{
		Method:     r.Method,
		Target:     r.RequestURI,
		Host:       r.Host,
		Header:     forwardedHeaders(r.Header),
		Body:       body,
		ID:         r.Header.Get(HeaderRequestID),
		TimeLeftMs: func() int64 { return time.Until(deadline).Milliseconds() },
		Deadline:   deadline,
		Idempotent: route.Idempotent(),
		EventGapMs: route.GapGoalMs,
	}
	e.requirements = balancer.Requirements{
		Service:  route.Pick(rand.Uint64()),
		Prefixes: balancer.ParsePrefixSegments(r.Header.Get(HeaderPromptPrefix)),
	}
	if version, err := strconv.ParseInt(r.Header.Get(HeaderWantVersion), 10, 64); err == nil {
		e.requirements.Version = version
	}
	if id, err := strconv.ParseInt(r.Header.Get(HeaderLastEventID), 10, 64); err == nil {
		e.position.lastEventID, e.position.hasEventID = id, true
	}
	if n := len(e.requirements.Prefixes); n > 0 {
		e.prefillTokens = e.requirements.Prefixes[n-1].Tokens
	}
	return e
}

// SweepPeriod is how often Sweep is to be called.
const SweepPeriod = 100 * clock.Millisecond

// Sweep looks for requests that hang at their workers, and closes connections that
// are past their time. To be called each SweepPeriod.
func (f *Forwarder) Sweep() {
	f.Sender.Sweep()
	f.Sender.Pool.Sweep(f.Sender.Directory())
}
