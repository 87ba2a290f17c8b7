package forward

import (
	"math"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// Bounds of what a worker may send before the response that is waited for.
const (
	maxHeaderBytes      = 64 << 10 // of one response's header
	maxInterimResponses = 8        // with a status of 1xx
	maxSurplusResponses = 2        // to other requests
	maxSurplusBodyBytes = 1 << 20  // of one of these
)

// Why no response header could be read.
var (
	errOtherRequest   = errors.New("responses to other requests")
	errHeaderTooLong  = errors.New("the response header is too long")
	errTooManyInterim = errors.New("too many interim responses")
	errUnaskedUpgrade = errors.New("another protocol that nobody asked for")
)

// headerReader reads from a connection, at most remaining bytes.
type headerReader struct {
	conn      net.Conn
	remaining int
}

// Read implements io.Reader.
func (h *headerReader) Read(b []byte) (int, error) {
	if h.remaining <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := h.conn.Read(b)
	h.remaining -= n
	return n, err
}

// readResponse reads the header of the response to the request. Responses with
// another request id are late ones to earlier requests and come first; they are discarded
// (design 6.4).
func (c *Conn) readResponse(request *Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	interim, surplus := 0, 0
	for {
		c.limited.remaining = maxHeaderBytes
		response, err := http.ReadResponse(c.reader, asked)
		c.limited.remaining = math.MaxInt
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUnaskedUpgrade
		case response.StatusCode < http.StatusOK:
			interim++
			if interim > maxInterimResponses {
				return nil, errTooManyInterim
			}
			continue
		case response.Header.Get(HeaderRequestID) == request.ID:
			return response, nil
		}
		surplus++
		if surplus > maxSurplusResponses || response.Close || !discardBody(response.Body, maxSurplusBodyBytes) {
			return nil, errOtherRequest
		}
	}
}
