package forward

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"rowanshunt/internal/fault"
)

// stream passes events on as they come, each complete. After a break the next
// attempt continues behind the last event sent, within the same response to the
// client. Its results are those of attempt.
func (e *exchange) stream(from *upstream) (answered bool, err error) {
	response := from.response
	if err := e.position.checkHeader(response); err != nil {
		return false, err
	}
	flusher := http.NewResponseController(e.writer)
	for {
		event, err := from.nextEvent()
		if errors.Is(err, io.EOF) {
			return e.endStream(response)
		}
		if err != nil {
			e.forwarder.Sender.recordFailure(e.client.Context(), response)
			return false, fault.New(fault.Unsure, from.worker.ID, "the stream broke off: "+err.Error(), "")
		}
		if err := e.position.checkEvent(&event, from.worker.ID); err != nil {
			return false, err
		}
		from.prefill.end()
		response.PauseSilenceTimer() // while the client is written to
		if err := e.sendEvent(flusher, response, &event); err != nil {
			return false, err
		}
		response.ResetSilenceTimer()
	}
}

// endStream ends the client's response as complete.
func (e *exchange) endStream(response *Response) (answered bool, err error) {
	if !e.hedger.close() {
		return false, errTakenOver
	}
	response.Release(true)
	if !e.position.headerSent {
		e.position.sendHeader(response.HTTP)
		e.writeStreamHeader(response.HTTP)
	}
	e.clearClientWriteLimit()
	return true, nil
}

// sendEvent writes one event to the client, behind the header if it is the first. It ends
// the connection if the client cannot be written to.
func (e *exchange) sendEvent(flusher *http.ResponseController, response *Response, event *Event) error {
	isFirst := !e.position.headerSent
	ours := e.hedger.advance(func(p *position) {
		p.sendHeader(response.HTTP)
		p.sendEvent(event)
	})
	if !ours {
		return errTakenOver
	}
	e.forwarder.Sender.recordResumed(response.attempt)
	e.markFirstByte()
	if isFirst {
		e.writeStreamHeader(response.HTTP)
	}
	if _, err := e.writer.Write(event.Raw); err != nil {
		abortConnection()
	}
	if err := flusher.Flush(); err != nil {
		abortConnection()
	}
	return nil
}

// writeStreamHeader writes the header of the stream's first worker.
func (e *exchange) writeStreamHeader(received *http.Response) {
	e.copyHeader(received)
	e.writer.Header().Del("Content-Length") // a continued response may differ in length
	e.writer.WriteHeader(received.StatusCode)
	e.limitClientWrites()
}
