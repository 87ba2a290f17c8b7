package ingress

import (
	"net/http"
	"time"
)

// Time limits of control calls (design 11.4). Callers retry on another node after a second
// without an answer, later where the body is large.
const (
	answerWithin  = 900 * time.Millisecond // leaves a tenth of that second for the network
	answerPerByte = 10 * time.Microsecond
	answerAtMost  = 3 * time.Second
)

// answerLimit is the time limit of a call by the size of its body, which is negative where
// the call does not state it.
func answerLimit(bodyBytes int64) time.Duration {
	if bodyBytes < 0 {
		return answerAtMost
	}
	return min(answerWithin+time.Duration(bodyBytes)*answerPerByte, answerAtMost)
}

// timeout is the time limit of one request of this call.
func (c *ControlCall) timeout(request *http.Request) time.Duration {
	if c.Consistency == ConsistencyDirectory {
		return answerWithin // a worker waits for a second, whatever it sent
	}
	return answerLimit(request.ContentLength)
}
