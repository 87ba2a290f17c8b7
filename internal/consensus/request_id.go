package consensus

import (
	"math/rand/v2"
	"slices"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/xxh3"

	"rowanshunt/internal/fault"
	"rowanshunt/internal/rpc"
)

// RequestID identifies an operator's request that carries no version: to retire a store,
// or one about an upgrade. Two changes with the same RequestID are the same request,
// which takes effect at most once (design 4.2).
type RequestID struct {
	digest Digest
	// keyed tells that the operator gave the identity (an idempotency key), so that
	// the request may be sent again in another call.
	keyed bool
}

// NewRequestID makes the identity of a request that was sent without a key. It serves
// one call, whose attempts at the register are distinguished from new requests by it.
func NewRequestID() RequestID {
	return RequestID{digest: Digest{Hi: rand.Uint64(), Lo: rand.Uint64()}}
}

// KeyedRequestID makes the identity of a request from the key it was sent with, its
// path and its body.
func KeyedRequestID(key, path string, body []byte) RequestID {
	sum := xxh3.Hash128(slices.Concat([]byte(key+"\n"+path+"\n"), body))
	return RequestID{digest: Digest{Hi: sum.Hi, Lo: sum.Lo}, keyed: true}
}

// maxCompletedRequests bounds the log of requests that were decided, oldest first.
// An entry takes at most 24 bytes.
const maxCompletedRequests = 128

// completedRequest is a request that was decided: carried out or refused.
type completedRequest struct {
	ID      Digest
	Refused bool
	Kind    fault.Kind // of the refusal
}

// DecodeMsgpack reads entries of later versions too.
func (cr *completedRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &cr.ID, &cr.Refused, &cr.Kind)
}

// outcome is the answer to the request when it is sent again.
func (cr *completedRequest) outcome() error {
	if !cr.Refused {
		return nil
	}
	return fault.New(cr.Kind, "Idempotency-Key", "the request with this key was refused", "send it with a new key once the cause is removed")
}

func loadCompleted(s *State) ([]completedRequest, error) {
	completed, _, err := loadAttribute[[]completedRequest](s, completedRequestsKey)
	return completed, err
}

// logCompleted adds a request to those that were decided, in a state that is not
// shared yet.
func logCompleted(s *State, completed []completedRequest, e completedRequest) error {
	completed = append(completed, e)
	completed = completed[max(len(completed)-maxCompletedRequests, 0):]
	return storeAttribute(s, completedRequestsKey, completed)
}

// Once is the change that carries a request out at most once. A request that was
// accepted changes nothing when it is sent again, whatever was accepted since; the
// attempts of one call are no new requests either. With a key, a request that
// changed nothing or was refused is logged too, so that a late copy of it gets the
// same answer.
func (ri RequestID) Once(change Change) Change {
	return func(current *State) (*State, error) {
		completed, err := loadCompleted(current)
		if err != nil {
			return nil, err
		}
		if at := slices.IndexFunc(completed, func(e completedRequest) bool { return e.ID == ri.digest }); at >= 0 {
			return nil, completed[at].outcome()
		}
		before := current.clone()
		next, refusal := change(current)
		if refusal != nil && !isFinalRefusal(refusal) || next == nil && !ri.keyed {
			return next, refusal
		}
		if next == nil {
			next = before
		}
		if err := logCompleted(next, completed, completedRequest{ID: ri.digest, Refused: refusal != nil, Kind: fault.KindOf(refusal)}); err != nil {
			return nil, err
		}
		return next, refusal
	}
}

// isFinalRefusal tells whether a fault is a refusal of the request itself, and not a
// failure to decide it.
func isFinalRefusal(err error) bool {
	switch fault.KindOf(err) {
	case fault.Invalid, fault.Unknown, fault.Stale, fault.Conflict:
		return true
	}
	return false
}
