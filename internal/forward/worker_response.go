package forward

import (
	"io"
	"math"
	"net/http"
	"time"

	"rowanshunt/internal/clock"
)

// Response is a worker's response whose header was read. It holds a connection and a
// slot in the table of attempts until Release is called. It belongs to one
// goroutine.
type Response struct {
	HTTP     *http.Response
	sender   *Sender
	conn     *Conn
	attempt  *Attempt
	slot     int
	released bool
}

// pausedProgress stands for the last progress while no silence counts.
const pausedProgress = math.MaxInt64

// ResetSilenceTimer notes that something came, or that the worker is waited for from
// now on.
func (r *Response) ResetSilenceTimer() { r.attempt.lastProgress.Store(int64(clock.Now())) }

// PauseSilenceTimer notes that it is not the worker that is waited for.
func (r *Response) PauseSilenceTimer() { r.attempt.lastProgress.Store(pausedProgress) }

// Release gives the connection back if the response was read completely, and closes
// it otherwise. Only the first call counts.
func (r *Response) Release(complete bool) {
	if r.released {
		return
	}
	r.released = true
	r.sender.Attempts.Drop(r.slot)
	r.attempt.end()
	if !complete || r.attempt.aborted.Load() {
		r.sender.Pool.Drop(r.conn)
		return
	}
	succeeded := r.HTTP.StatusCode >= http.StatusOK && r.HTTP.StatusCode < http.StatusInternalServerError
	if succeeded && !r.attempt.failureRecorded.Load() {
		r.sender.Balancer.RecordWorkerOutcome(r.attempt.worker, true)
	}
	r.sender.Pool.Put(r.conn, r.HTTP)
}

// releaseUnsent gives the connection back: nothing was sent on it.
func (r *Response) releaseUnsent() {
	r.released = true
	r.sender.Attempts.Drop(r.slot)
	r.attempt.end()
	if r.attempt.aborted.Load() {
		r.sender.Pool.Drop(r.conn)
		return
	}
	r.sender.Pool.PutUnused(r.conn)
}

// An unwanted body is read so that its connection can be used again, up to so many
// bytes and for so long: beyond that a new connection costs less.
const (
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
)

// Discard ends a response whose body is not wanted. The connection is used again
// only if the end of the body was seen.
func (r *Response) Discard() {
	if r.HTTP.ContentLength < 0 || r.HTTP.ContentLength > int64(r.conn.reader.Buffered()) {
		_ = r.conn.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	}
	r.Release(discardBody(r.HTTP.Body, maxDiscardBytes))
}

// discardBody reads a body of at most maxBytes, false if its end was not seen.
func discardBody(body io.Reader, maxBytes int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxBytes+1))
	return err == nil && n <= maxBytes
}
