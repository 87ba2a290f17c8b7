package forward

import (
	"bufio"
	"net/http"
	"strconv"
	"time"

	"rowanshunt/internal/fault"
)

// Request is a request on its way to workers. Nothing changes it while it is sent
// but its Header, between two attempts.
type Request struct {
	Method string
	Target string // raw, as the client wrote it
	Host   string
	Header http.Header
	Body   []byte
	ID     string
	// TimeLeftMs is how long the client will still wait, in milliseconds, as sent to the
	// worker in HeaderTimeLeft; nil: the header is not sent.
	TimeLeftMs func() int64
	Deadline   time.Time // when it is given up
	// StillValid is asked right before the bytes are sent; false: do not send. nil:
	// it stays valid.
	StillValid func() bool
	// Idempotent requests may be sent again, also to the same worker.
	Idempotent bool
	// EventGapMs is the longest pause between events at which the response is still
	// in time, in milliseconds; 0 if none is named.
	EventGapMs int64
}

// check rejects a request whose request line or ids would be read as something
// else by the worker. Such a request is never sent.
func (r *Request) check(worker string) error {
	switch {
	case !printable(r.Method, '!') || !printable(r.Target, '!') || r.Target == "" || r.Method == "":
		return fault.New(fault.Invalid, "target", "has a space or a control character", "encode it")
	case !printable(r.Host, '!'):
		return fault.New(fault.Invalid, "host", "has a space or a control character", "give a host name")
	case !printable(r.ID, ' ') || !printable(worker, ' '):
		return fault.New(fault.Invalid, HeaderRequestID, "or the worker's has a control character", "use printable characters")
	}
	return nil
}

// printable tells whether no byte of text is below least or a delete character.
func printable(text string, least byte) bool {
	for i := range len(text) {
		if text[i] < least || text[i] == 0x7f {
			return false
		}
	}
	return true
}

// write sends the complete request, as the worker is to see it, before anything is
// read of its answer: an answer that comes early leaves no part of the body due
// on the connection. Method, target, body and all other headers go out as they
// came in (design 6.3).
func (r *Request) write(w *bufio.Writer, worker string) error {
	writeLine(w, r.Method, " ", r.Target, " HTTP/1.1")
	writeLine(w, "Host: ", r.Host)
	if err := r.Header.WriteSubset(w, withheldHeaders); err != nil {
		return err
	}
	writeLine(w, HeaderRequestID, ": ", r.ID)
	writeLine(w, HeaderWantWorker, ": ", worker)
	if r.TimeLeftMs != nil {
		writeLine(w, HeaderTimeLeft, ": ", strconv.FormatInt(max(r.TimeLeftMs(), 1), 10))
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		writeLine(w, "Content-Length: ", strconv.Itoa(len(r.Body)))
	}
	writeLine(w)
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	return w.Flush()
}

// writeLine writes one line of a header. Errors stay in the writer and come out of
// its Flush.
func writeLine(w *bufio.Writer, parts ...string) {
	for _, part := range parts {
		_, _ = w.WriteString(part)
	}
	_, _ = w.WriteString("\r\n")
}
