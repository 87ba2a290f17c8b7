package ingress

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Consistency is what a control call needs before it is answered with anything but
// a 5xx. A malformed call needs nothing: its 400 or 413 depends on the call alone.
type Consistency uint8

const (
	// ConsistencyDirectory says that a majority of the core accepted a worker's sign-off
	// (design 5.4); other heartbeats promise nothing.
	ConsistencyDirectory Consistency = iota + 1
	// ConsistencyRead says that the answer is a value read at a majority of the core after
	// the call began.
	ConsistencyRead
	// ConsistencyWrite says that a change was committed at a majority, or rejected on a value
	// that was committed there after the call began.
	ConsistencyWrite
	// ConsistencyConfirmed says that the register was read at a majority after the call
	// began; the answer adds what nodes report of themselves.
	ConsistencyConfirmed
)

// String names the consistency as the table of docs/hardening.md does.
func (c Consistency) String() string {
	switch c {
	case ConsistencyDirectory:
		return "directory"
	case ConsistencyRead:
		return "read"
	case ConsistencyWrite:
		return "write"
	case ConsistencyConfirmed:
		return "confirmed"
	}
	return "none"
}

// ControlCall is one call of workers or operators. (A config.Route says where clients'
// requests go.)
type ControlCall struct {
	Method      string
	Path        string
	Consistency Consistency
	decode      func(r *http.Request, params httprouter.Params) (Command, error)
}

// ControlCalls lists all control calls; the router has these and no others.
func ControlCalls() []ControlCall {
	return []ControlCall{
		{http.MethodPut, "/-/workers/:id", ConsistencyDirectory, decodeHeartbeat},
		{http.MethodDelete, "/-/workers/:id", ConsistencyDirectory, decodeSignOff},
		{http.MethodPut, "/-/config", ConsistencyWrite, decodePutConfiguration},
		{http.MethodGet, "/-/config", ConsistencyRead, decodeGetConfiguration},
		{http.MethodPost, "/-/upgrades/:svc/:act", ConsistencyWrite, decodeUpgrade},
		{http.MethodGet, "/-/upgrades/:svc", ConsistencyRead, decodeUpgradeStatus},
		{http.MethodGet, "/-/traces/:kind/:id", ConsistencyConfirmed, decodeTrace},
		{http.MethodGet, "/-/trail/:kind/:id", ConsistencyConfirmed, decodeTrace}, // its earlier name
		{http.MethodPut, "/-/quotas", ConsistencyWrite, decodePutQuotas},
		{http.MethodGet, "/-/quotas", ConsistencyRead, decodeGetQuotas},
		{http.MethodGet, "/-/quotas/:tenant", ConsistencyConfirmed, decodeExplainQuota},
		{http.MethodPost, "/-/retire/:node", ConsistencyWrite, decodeRetire},
		{http.MethodGet, "/-/retire/:node", ConsistencyRead, decodeRetirementStatus},
	}
}
