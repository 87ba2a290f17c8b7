package upgrade

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
)

const (
	// activeRequests is how many requests in the last 5 to 10 s make a prefix group
	// count (design 13.2): for fewer a cold cache costs little.
	activeRequests = 8
	// minAnswers is how many recent answers a judgement of their health needs.
	minAnswers = 40
)

// WorkerState is what the driver sees of a worker, drained or not.
type WorkerState struct {
	ID      string
	Addr    string
	Version int64 // of its model's weights
	Up      bool  // registered and not draining by itself
	Busy    bool  // something of ours runs there
}

// PrefixGroup is what the edge nodes saw of the requests that share a prompt prefix.
//
// Groups and health have travelled with the names of their fields since their first
// version, unlike everything else, and go on so: nodes of the version before read them
// by name. The names are the tags, not to be changed.
type PrefixGroup struct {
	ID             string   `msgpack:"ID"`
	RecentRequests int64    `msgpack:"Lately"`
	Replicas       []string `msgpack:"Holders"` // workers that recently answered it
}

// EncodeMsgpack writes a group with its fields' names.
func (p PrefixGroup) EncodeMsgpack(encoder *msgpack.Encoder) error {
	type plain PrefixGroup
	return codec.EncodeWithNames(encoder, plain(p))
}

// active reports whether the group counts.
func (p *PrefixGroup) active() bool { return p.RecentRequests >= activeRequests }

// Health is how a service's recent answers fared.
type Health struct {
	Answers int64 `msgpack:"Answers"`
	Late    int64 `msgpack:"Late"`
	Failed  int64 `msgpack:"Failed"`
}

// EncodeMsgpack writes health with its fields' names.
func (h Health) EncodeMsgpack(encoder *msgpack.Encoder) error {
	type plain Health
	return codec.EncodeWithNames(encoder, plain(h))
}

// plus is the health of two nodes' answers together.
func (h Health) plus(other Health) Health {
	return Health{Answers: h.Answers + other.Answers, Late: h.Late + other.Late, Failed: h.Failed + other.Failed}
}

// Observation is what a driver sees of a service at one moment.
type Observation struct {
	Workers []WorkerState
	Groups  []PrefixGroup
	Health  Health
}

// problem is a reason to pause, and what to do about it.
type problem struct{ why, remedy string }

// findProblem judges the workers and the answers by the rules, nil if all is well.
func (u *Upgrade) findProblem(healthyWorkers int64, h Health) *problem {
	judged := h.Answers >= minAnswers
	// The conversion rounds the product: nodes decide alike on all processors (design 1.7).
	required := float64(u.Rules.MinHealthyShare*float64(u.Total)) - float64(len(u.Drained))
	switch {
	case float64(healthyWorkers) < required:
		return &problem{fmt.Sprintf("%d of %d workers are well", healthyWorkers, u.Total), "bring the service's workers back, then resume"}
	case judged && float64(h.Failed) > u.Rules.MaxFailed*float64(h.Answers):
		return &problem{fmt.Sprintf("%d of %d answers failed lately", h.Failed, h.Answers), "look at the workers of the target version; resume, or undo"}
	case judged && float64(h.Late) > u.Rules.MaxLate*float64(h.Answers):
		return &problem{fmt.Sprintf("%d of %d answers were late lately", h.Late, h.Answers), "wait for less work or allow more late ones; then resume"}
	}
	return nil
}
