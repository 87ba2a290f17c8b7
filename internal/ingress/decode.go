package ingress

import (
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
)

const (
	// maxCommandBytes bounds the body of a heartbeat and of an operator's small commands;
	// documents have bounds of their own.
	maxCommandBytes = 64 << 10
	// maxIdempotencyKey bounds the key of an operator's command, in bytes: it is kept in
	// the register.
	maxIdempotencyKey = 64
)

// readBody reads a request's body, at most maxBytes.
func readBody(r *http.Request, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "body", "is over "+strconv.FormatInt(maxBytes, 10)+" bytes", "send less")
	}
	if err != nil {
		return nil, fault.New(fault.Invalid, "body", "cannot be read: "+err.Error(), "send all of it")
	}
	return body, nil
}

// orderID identifies a command that carries no version: by its Idempotency-Key, so that a
// retry is recognized, else by a new identity for this call alone.
func orderID(r *http.Request, body []byte) (consensus.RequestID, error) {
	keys := r.Header.Values("Idempotency-Key")
	if len(keys) == 0 {
		return consensus.NewRequestID(), nil
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKey {
		return consensus.RequestID{}, fault.New(fault.Invalid, "Idempotency-Key", "is not one key of 1 to 64 characters", "send a new random one with each order, and the same with its resends")
	}
	return consensus.KeyedRequestID(keys[0], r.URL.Path, body), nil
}

// baseVersion is the version that a document builds on, from If-Match.
func baseVersion(r *http.Request) (int64, error) {
	version, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil || version < 0 {
		return 0, fault.New(fault.Invalid, "If-Match", "holds no version", "give the version it builds on, 0 for the first")
	}
	return version, nil
}
