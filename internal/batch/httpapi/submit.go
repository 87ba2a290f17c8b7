package httpapi

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"rowanshunt/internal/batch"
	"rowanshunt/internal/config"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/forward"
)

const (
	// admissionWaitMs is how long a submission may wait for permits.
	admissionWaitMs = 150
	// maxSubmitMs bounds a submission, whatever its caller still has.
	maxSubmitMs = 2500
	// minRetainMs is the least time that items are tried where the route says none.
	minRetainMs = 60_000
	// maxRetainS is a year: what is longer need not fit the units of a job.
	maxRetainS = 366 * 24 * 3600
)

// Submit accepts a job. leftMs is how long its caller waits, from the request's header on.
func (a *API) Submit(w http.ResponseWriter, r *http.Request, route *config.Route, id string, maxBytes int64, leftMs int64) {
	if r.ContentLength > maxBytes {
		http.Error(w, "the lot is too large", http.StatusRequestEntityTooLarge)
		return
	}
	release, ok := a.admit(r, maxBytes, leftMs)
	if !ok {
		a.Reject(w, http.StatusTooManyRequests, 1000, "too many lots are being submitted")
		return
	}
	defer release()
	raw, ok := readBody(w, r, maxBytes)
	if !ok {
		return
	}
	wallUs := a.WallUs()
	items, err := ParseItems(raw, wallUs)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	leftMs = min(leftMs, maxSubmitMs)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(leftMs)*time.Millisecond)
	defer cancel()
	result, err := a.Client.Submit(ctx, r.Host, newJob(r, route, id, items, wallUs), route.Backlog, leftMs*1000)
	a.writeSubmitResult(w, result, err)
}

// admit takes permits for a body before it is read: a submission that waits holds its
// connection only. The wait is short, so that a rejected caller soon learns of it.
func (a *API) admit(r *http.Request, maxBytes, leftMs int64) (release func(), ok bool) {
	if a.BodyPermits == nil {
		return func() {}, true
	}
	permits := r.ContentLength
	if permits < 0 {
		permits = maxBytes
	}
	permits = min(permits, a.MaxBodyPermits)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(admissionWaitMs, leftMs/4))*time.Millisecond)
	defer cancel()
	if err := a.BodyPermits.Acquire(ctx, permits); err != nil {
		return nil, false
	}
	return func() { a.BodyPermits.Release(permits) }, true
}

// readBody reads the body, or answers why it cannot.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	client := http.NewResponseController(w)
	limit, _ := r.Context().Deadline()
	_ = client.SetReadDeadline(forward.BodyReadDeadline(limit))
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil {
		_ = client.SetReadDeadline(time.Time{}) // from here on only the client's leaving ends the wait
		return raw, true
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "0.300")
		http.Error(w, "the lot did not come in time", http.StatusRequestTimeout)
		return nil, false
	}
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		http.Error(w, "the lot is too large", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	http.Error(w, "the lot cannot be read", http.StatusBadRequest)
	return nil, false
}

func newJob(r *http.Request, route *config.Route, id string, items []batch.Item, wallUs int64) *batch.Job {
	job := &batch.Job{ID: id, Host: config.HostKey(r.Host), Path: r.URL.Path, Route: route.Name, SentUs: wallUs, DueMs: route.DueMs,
		RetainMs: int64(min(route.RetainS, maxRetainS) * 1000), Tries: route.Tries, Items: items}
	if job.RetainMs <= 0 {
		job.RetainMs = max(10*route.DueMs, minRetainMs)
	}
	return job
}

// writeSubmitResult answers a submission.
func (a *API) writeSubmitResult(w http.ResponseWriter, result *batch.SubmitResult, err error) {
	switch {
	case err == nil && result.Outcome == batch.SubmitConflict:
		http.Error(w, "another lot was accepted under this id: give each lot its own", http.StatusConflict)
	case err == nil && result.Outcome == batch.SubmitAccepted:
		w.WriteHeader(http.StatusAccepted)
	case err == nil && result.Outcome == batch.SubmitNoCapacity:
		a.Reject(w, http.StatusServiceUnavailable, result.RetryAfterMs, "the stores have no capacity for more lots")
	case err == nil:
		a.Reject(w, http.StatusTooManyRequests, result.RetryAfterMs, "the lot does not fit into the backlog")
	case fault.Is(err, fault.Refused) || fault.Is(err, fault.Unreached):
		a.Reject(w, http.StatusServiceUnavailable, 300, err.Error())
	case fault.Is(err, fault.Invalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	}
}
