package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// readBody reads a request's body completely, within the operator's bound, the bytes
// that all bodies share and the request's deadline. What is returned counts as in
// use, also beside a status that is not 0.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, deadline time.Time) (body []byte, status int) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return nil, 0
	}
	if r.ContentLength > maxBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	// The length counts from here on, so that bodies that come slowly share the bytes
	// too.
	length := max(r.ContentLength, 0)
	if inUse := f.bodyBytesInUse.Add(length); f.MaxBodyBytes > 0 && inUse > f.MaxBodyBytes {
		f.bodyBytesInUse.Add(-length)
		return nil, http.StatusServiceUnavailable
	}
	client := http.NewResponseController(w)
	_ = client.SetReadDeadline(BodyReadDeadline(deadline))
	var err error
	if length > 0 {
		body = make([]byte, length)
		_, err = io.ReadFull(r.Body, body)
	} else {
		body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
		f.bodyBytesInUse.Add(int64(len(body)))
	}
	if err != nil {
		return body, bodyErrorStatus(err, deadline)
	}
	// From here on only the client's leaving ends the wait on its connection.
	_ = client.SetReadDeadline(time.Time{})
	return body, 0
}

// MaxBodyReadTime bounds the reading of a body where the request has longer. It must
// not exceed ingress.maxHandlerDeadline.
const MaxBodyReadTime = 10 * time.Minute

// BodyReadDeadline is the read deadline for the body of a client's request: the
// request's own deadline, or MaxBodyReadTime from now where that is earlier or the
// request has none (the zero time).
func BodyReadDeadline(request time.Time) time.Time {
	latest := time.Now().Add(MaxBodyReadTime)
	if !request.IsZero() && request.Before(latest) {
		return request
	}
	return latest
}

// bodyErrorStatus is what a client is answered whose body could not be read.
func bodyErrorStatus(err error, deadline time.Time) int {
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		return http.StatusRequestEntityTooLarge
	case !time.Now().Before(deadline):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
