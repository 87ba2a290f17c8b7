package forward

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"rowanshunt/internal/fault"
)

// maxBufferedBytes is how much of a response that is no stream is read before the
// client gets any of it, in bytes. Up to there another attempt can replace it.
const maxBufferedBytes = 256 << 10

// claimsNotRun tells whether a status promises clients that the request has not run
// and never will.
func claimsNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// unary passes on a response that is no stream: at once when it is complete, or as
// it comes once it is over maxBufferedBytes. Its results are those of attempt.
func (e *exchange) unary(response *Response) (answered bool, err error) {
	received := response.HTTP
	if received.StatusCode < http.StatusMultipleChoices && received.Header.Get(HeaderSeal) == "" {
		return false, fault.New(fault.Unsure, response.attempt.worker, "the answer has no seal", "")
	}
	if claimsNotRun(received.StatusCode) {
		// The worker did not say that it has not run: to the client this status would.
		return false, fault.New(fault.Unsure, response.attempt.worker, "answers "+strconv.Itoa(received.StatusCode)+" without a promise", "")
	}
	if received.ContentLength > maxBufferedBytes {
		if !e.hedger.close() {
			return false, errTakenOver
		}
		e.startLongResponse(received)
		e.copyRest(response)
		return true, nil
	}
	// A body without a length ends with its connection: it is complete if that was
	// closed in order; if it was reset, the read fails (design 6.5).
	body, err := io.ReadAll(io.LimitReader(received.Body, maxBufferedBytes+1))
	if err != nil {
		return false, fault.New(fault.Unsure, response.attempt.worker, "broke off: "+err.Error(), "")
	}
	if !e.hedger.close() {
		return false, errTakenOver
	}
	if len(body) > maxBufferedBytes {
		e.startLongResponse(received)
		if _, err := e.writer.Write(body); err != nil {
			abortConnection()
		}
		e.copyRest(response)
		return true, nil
	}
	response.Release(true)
	e.markFirstByte()
	e.failed = received.StatusCode >= http.StatusInternalServerError
	e.copyHeader(received)
	if received.ContentLength < 0 && e.client.Method != http.MethodHead {
		e.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	e.writer.WriteHeader(received.StatusCode)
	_, _ = e.writer.Write(body)
	return true, nil
}

// startLongResponse sends the header of a response that is passed on as it comes.
func (e *exchange) startLongResponse(received *http.Response) {
	e.copyHeader(received)
	e.writer.WriteHeader(received.StatusCode)
	e.position.headerSent = true
	e.limitClientWrites()
}

// copyRest passes on what is left of the body. Since the client has a part of it, no
// other attempt can follow: an error ends the connection.
func (e *exchange) copyRest(response *Response) {
	e.markFirstByte()
	response.PauseSilenceTimer()
	if _, err := io.Copy(e.writer, response.HTTP.Body); err != nil {
		abortConnection()
	}
	response.Release(true)
	e.clearClientWriteLimit()
}

// copyHeader copies the headers that clients get (responseHeaders).
func (e *exchange) copyHeader(received *http.Response) {
	header := e.writer.Header()
	for _, name := range responseHeaders {
		if values := received.Header[name]; len(values) > 0 {
			header[name] = values
		}
	}
	if received.Header["Content-Type"] == nil {
		header["Content-Type"] = nil // keeps net/http from guessing one
	}
}

// clientWriteGrace is how long after the request's deadline its client may take to
// read the rest of the response.
const clientWriteGrace = time.Second

// limitClientWrites ends the writing of a long response to a client that stopped
// reading.
func (e *exchange) limitClientWrites() {
	_ = http.NewResponseController(e.writer).SetWriteDeadline(e.request.Deadline.Add(clientWriteGrace))
}

// clearClientWriteLimit is for the next request on the client's connection.
func (e *exchange) clearClientWriteLimit() {
	_ = http.NewResponseController(e.writer).SetWriteDeadline(time.Time{})
}
