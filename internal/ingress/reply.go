package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"

	"rowanshunt/internal/fault"
)

// Reply is the answer of a command that succeeded.
type Reply struct {
	Status int
	Body   []byte // JSON
}

// retryAfter is when a caller may retry a rejected call, in seconds; docs/operators.md
// states it.
const retryAfter = "0.3"

// emptyReply acknowledges a command that has nothing to return.
func emptyReply() Reply { return Reply{Status: http.StatusOK, Body: []byte("{}")} }

// replyJSON returns a value as JSON.
func replyJSON(value any) (Reply, error) {
	body, err := json.Marshal(value)
	return Reply{Status: http.StatusOK, Body: body}, err
}

// statusOf is the HTTP status of an error. A call that may have been carried out gets 502,
// which promises nothing; one that certainly was not gets 503.
func statusOf(err error) int {
	switch fault.KindOf(err) {
	case fault.Invalid:
		return http.StatusBadRequest
	case fault.Unknown:
		return http.StatusNotFound
	case fault.Stale:
		return http.StatusPreconditionFailed
	case fault.Conflict:
		return http.StatusConflict
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.Refused, fault.Unreached:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeReply sends a command's reply, or its error as JSON.
func (c *Control) writeReply(w http.ResponseWriter, r *http.Request, reply Reply, err error) {
	if err != nil {
		reply.Status = statusOf(err)
		reply.Body, _ = json.Marshal(map[string]string{"err": err.Error()})
		c.Log.Info("control_call_failed", "method", r.Method, "path", r.URL.Path, "status", reply.Status, "err", err)
		if reply.Status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfter)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
