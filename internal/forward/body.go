package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// readBody reads a request's body whole, within the operator's bound, the room
// that all bodies share and the request's time. What is returned counts as held,
// also beside a status that is not 0.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, until time.Time) ([]byte, int) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	if r.ContentLength > maxBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	lenBytes := max(r.ContentLength, 0)
	// The length is held from here on, so that bodies that come slowly share the
	// room too.
	if held := f.held.Add(lenBytes); f.BodyBytes > 0 && held > f.BodyBytes {
		f.held.Add(-lenBytes)
		return nil, http.StatusServiceUnavailable
	}
	client := http.NewResponseController(w)
	_ = client.SetReadDeadline(earlier(until, time.Now().Add(maxBodyTime)))
	var body []byte
	var err error
	if lenBytes > 0 {
		body = make([]byte, lenBytes)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
		f.held.Add(int64(len(body)))
	}
	if err != nil {
		return body, bodyStatus(err, until)
	}
	// From here on only the client's leaving ends the wait on its connection.
	_ = client.SetReadDeadline(time.Time{})
	return body, 0
}

// maxBodyTime bounds the reading of a body where the request has longer.
const maxBodyTime = 10 * time.Minute

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// bodyStatus is what a client is answered whose body could not be read.
func bodyStatus(err error, until time.Time) int {
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return http.StatusRequestEntityTooLarge
	case !time.Now().Before(until):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
