package consensus

import (
	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/rpc"
)

// Bounds of a request log: entries kept of each kind. An entry takes at most 28
// bytes, so that a full log adds under 9 kB to the register's value.
const (
	maxAcceptedRequests = 256
	maxRejectedRequests = 64
)

// RequestLog is the record of the put requests of one document. It is part of the
// register's value, so a request counts as accepted whichever proposer committed
// it, and a request that was rejected before its base was current stays rejected
// (design 4.2).
type RequestLog struct {
	// Floor is the version that the oldest entry of Accepted builds on. Nothing
	// is known of requests at or below it.
	Floor int64
	// Accepted are the accepted requests, oldest first; each builds on the one
	// before it.
	Accepted []Accepted
	// Rejected are requests that were rejected although their base could still
	// have become current, oldest first.
	Rejected []Rejected
}

// Accepted is an entry of a request log; its base is the version of the entry
// before it.
type Accepted struct {
	Version int64
	Digest  Digest
}

// Rejected is the identity of a request that must never be accepted.
type Rejected struct {
	Version int64
	Base    int64
	Digest  Digest
}

// DecodeMsgpack reads logs of earlier and later versions too.
func (rl *RequestLog) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &rl.Floor, &rl.Accepted, &rl.Rejected)
}

// DecodeMsgpack reads entries of later versions too.
func (a *Accepted) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &a.Version, &a.Digest)
}

// DecodeMsgpack reads entries of later versions too.
func (r *Rejected) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.DecodeFields(d, &r.Version, &r.Base, &r.Digest)
}

// RequestLogKey is the key under which the register's value keeps a request log.
type RequestLogKey string

// Load reads the log from the register's value. currentVersion is that of the
// document there: if the log does not end with it, a node of an earlier version
// accepted a request without logging it, and the log begins anew.
func (rk RequestLogKey) Load(s *State, currentVersion int64) (*RequestLog, error) {
	log := &RequestLog{Floor: currentVersion}
	stored, logged, err := loadAttribute[RequestLog](s, string(rk))
	if err != nil {
		return nil, err
	}
	if !logged {
		return log, nil
	}
	if stored.newestVersion() != currentVersion {
		log.Rejected = stored.Rejected
		return log, nil
	}
	return &stored, nil
}

// store encodes the log into a state that is not shared yet.
func (rl *RequestLog) store(s *State, key RequestLogKey) error {
	return storeAttribute(s, string(key), rl)
}

func (rl *RequestLog) newestVersion() int64 {
	if len(rl.Accepted) == 0 {
		return rl.Floor
	}
	return rl.Accepted[len(rl.Accepted)-1].Version
}

// isAccepted tells whether this very request is in the log.
func (rl *RequestLog) isAccepted(request PutRequest) bool {
	base := rl.Floor
	for _, accepted := range rl.Accepted {
		if accepted.Version == request.Version {
			return accepted.Digest == request.Digest && base == request.Base
		}
		base = accepted.Version
	}
	return false
}

func (rl *RequestLog) isRejected(request PutRequest) bool {
	for _, r := range rl.Rejected {
		if r.Version == request.Version && r.Base == request.Base && r.Digest == request.Digest {
			return true
		}
	}
	return false
}

// accept appends a request that builds on the newest one.
func (rl *RequestLog) accept(request PutRequest) {
	rl.Accepted = append(rl.Accepted, Accepted{Version: request.Version, Digest: request.Digest})
	if over := len(rl.Accepted) - maxAcceptedRequests; over > 0 {
		rl.Floor = rl.Accepted[over-1].Version
		rl.Accepted = rl.Accepted[over:]
	}
	// What builds on a version below the new one can't be accepted any more.
	var open []Rejected
	for _, r := range rl.Rejected {
		if r.Base >= request.Version {
			open = append(open, r)
		}
	}
	rl.Rejected = open
}

// reject logs a request that could still be accepted later.
func (rl *RequestLog) reject(request PutRequest) {
	rl.Rejected = append(rl.Rejected, Rejected(request))
	if over := len(rl.Rejected) - maxRejectedRequests; over > 0 {
		rl.Rejected = rl.Rejected[over:]
	}
}

// ApplyRequest decides a put request on a state that is not shared yet:
//
//   - A request that was accepted before changes nothing.
//   - A new one that builds on the current version is given to apply, which checks the
//     document and stores it in the state, and is logged. What apply refuses is not
//     logged: the operator may remove the cause and send that request again.
//   - A request whose base is above the current version could be accepted later from a
//     late copy of the same call, so its rejection is logged: both a state to commit
//     and the refusal are returned.
//   - A request so old that the log can't tell whether it was accepted gets an Unsure
//     fault, never a refusal.
//   - Every other request is refused.
func (rk RequestLogKey) ApplyRequest(current *State, currentVersion int64, request PutRequest, apply func(*State) error) (*State, error) {
	log, err := rk.Load(current, currentVersion)
	if err != nil {
		return nil, err
	}
	if log.isAccepted(request) {
		return nil, nil
	}
	if request.Version <= request.Base {
		// Such a request can't be accepted at any time.
		if request.Base != currentVersion {
			return nil, errStaleBase
		}
		return nil, errVersionNotAbove
	}
	if log.isRejected(request) {
		return nil, errStaleBase
	}
	if request.Base < currentVersion {
		// A request on a base below the floor was accepted, if at all, as a version that
		// is at most the floor. The current one is recognized by its document.
		if request.Base < log.Floor && request.Version <= log.Floor && request.Version != currentVersion {
			return nil, errForgottenRequest
		}
		return nil, errStaleBase
	}
	if request.Base > currentVersion {
		log.reject(request)
		if err := log.store(current, rk); err != nil {
			return nil, err
		}
		return current, errStaleBase
	}
	if err := apply(current); err != nil {
		return nil, err
	}
	log.accept(request)
	if err := log.store(current, rk); err != nil {
		return nil, err
	}
	return current, nil
}
