// Package httpapi is the batch interface over HTTP, at a node that serves clients: it
// parses requests, asks the owner of the job's shard by a batch.Client, and answers with
// the statuses of design 8.4 and 8.8. It keeps no state; its handlers run on the server's
// goroutines.
package httpapi

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/jx"
	"github.com/julienschmidt/httprouter"
	"golang.org/x/sync/semaphore"

	"rowanshunt/internal/batch"
	"rowanshunt/internal/config"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/logging"
)

// Bounds of a read.
const (
	maxReadWaitMs = 10_000  // of a long poll
	maxReadBytes  = 1 << 20 // of the texts in one answer
	// readMarginMs is what a read may take beside its wait.
	readMarginMs = 1200
	// callTimeout bounds short calls, with their attempts.
	callTimeout = 1500 * time.Millisecond
)

// API serves the batch interface.
type API struct {
	Client        *batch.Client
	Configuration func() *config.Configuration
	WallUs        func() int64 // wall clock, microseconds since 1970; recorded in jobs, decides nothing
	// Reject answers that a request had no effect, and when it may be sent again.
	Reject func(w http.ResponseWriter, status int, afterMs int64, why string)
	// BodyPermits has one permit for each byte of bodies that may be in memory; nil: no bound.
	BodyPermits    *semaphore.Weighted
	MaxBodyPermits int64
	Log            *logging.Log
}

// Read lists results.
func (a *API) Read(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	startAt, waitMs, err := parseRead(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs+readMarginMs)*time.Millisecond)
	defer cancel()
	page, err := a.Client.Read(ctx, r.Host, ps.ByName("id"), startAt, waitMs, maxReadBytes)
	if a.writeFault(w, err) {
		return
	}
	writePage(w, page)
}

func writePage(w http.ResponseWriter, page *batch.ReadPage) {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field("sum", func(e *jx.Encoder) { e.Int64(page.Total) })
		e.Field("cont", func(e *jx.Encoder) { e.Int64(page.NextAt) })
		e.Field("out", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for i := range page.Results {
					writeResult(e, &page.Results[i])
				}
			})
		})
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(e.Bytes())))
	_, _ = w.Write(e.Bytes())
}

func writeResult(e *jx.Encoder, result *batch.ReadResult) {
	e.Obj(func(e *jx.Encoder) {
		e.Field("id", func(e *jx.Encoder) { e.Str(result.ID) })
		e.Field("phase", func(e *jx.Encoder) { e.Str(result.Phase) })
		e.Field("msg", func(e *jx.Encoder) { e.ByteStr(result.Msg) })
	})
}

// Body answers with the body of an item that has no result yet.
func (a *API) Body(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	body, err := a.Client.ItemBody(ctx, r.Host, ps.ByName("id"), r.URL.Query().Get("id"))
	if a.writeFault(w, err) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// Cancel ends a job for its client.
func (a *API) Cancel(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	err := a.Client.Cancel(ctx, r.Host, ps.ByName("id"))
	if fault.Is(err, fault.Unsure) {
		// It may have been ended: 503 would promise that it was not.
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	if a.writeFault(w, err) {
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeFault answers for a call to an owner that did not succeed: 404 only where
// the owner is sure. False if there is no fault.
func (a *API) writeFault(w http.ResponseWriter, err error) bool {
	switch {
	case err == nil:
		return false
	case fault.Is(err, fault.Unknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		a.Reject(w, http.StatusServiceUnavailable, 200, err.Error())
	}
	return true
}
