package discovery

import (
	"encoding/json"
	"hash/fnv"
	"strings"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/fault"
)

// Model is a model a worker serves, with the version of its weights.
type Model struct {
	Name string `json:"name"`
	Ver  int64  `json:"ver"`
}

// Worker is one incarnation of a worker, as its heartbeats describe it. The order of
// the fields is a format: Worker is sent to peers and written to the journal.
type Worker struct {
	ID         string       `json:"-"`
	Svc        string       `json:"svc"`
	Addr       string       `json:"addr"`
	Az         string       `json:"az"`
	Ver        string       `json:"ver"`
	Slots      int64        `json:"slots"`
	Phase      string       `json:"phase"`
	WarmLeftMs int64        `json:"warm_left_ms"`
	Stage      string       `json:"stage"`
	Models     []Model      `json:"models"`
	Seq        uint64       `json:"seq"`
	Gone       bool         `json:"-"`
	Age        clock.Micros `json:"-"` // since its last heartbeat, when this was sent
	Restored   bool         `json:"-"` // known only from the journal, written before a restart (design 5.5)
}

// The phases of a worker, as heartbeats send them.
const (
	phaseUp       = "up"
	phaseDraining = "draining"
)

// Up tells whether requests may be sent to the worker.
func (w *Worker) Up() bool { return !w.Gone && w.Phase == phaseUp }

// Bounds of a heartbeat.
const (
	maxIDBytes = 256
	maxModels  = 64
)

// ParseHeartbeat decodes and checks the body of a heartbeat.
func ParseHeartbeat(id string, body []byte) (*Worker, error) {
	w := &Worker{}
	if err := json.Unmarshal(body, w); err != nil {
		return nil, fault.New(fault.Invalid, "heartbeat", err.Error(), "send the JSON object of the protocol page")
	}
	w.ID = id
	var invalid fault.Collector
	if id == "" || len(id) > maxIDBytes {
		invalid.Addf("id", "is missing or too long", "put it into the path")
	}
	if strings.ContainsFunc(id, isControl) || strings.ContainsFunc(w.Addr, isControl) {
		invalid.Addf("id", "or addr holds a control character", "use printable characters")
	}
	if w.Svc == "" {
		invalid.Addf("svc", "is missing", "name the service")
	}
	if w.Addr == "" {
		invalid.Addf("addr", "is missing", "give the address requests go to")
	}
	if w.Phase != phaseUp && w.Phase != phaseDraining {
		invalid.Addf("phase", "is neither up nor draining", "send one of them")
	}
	if w.Slots < 0 || len(w.Models) > maxModels {
		invalid.Addf("slots", "or models out of bounds", "send what the worker has")
	}
	return w, invalid.Err()
}

// isControl tells ASCII control characters, which would end the line of a header.
func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// fingerprint hashes what an update is about: all but the sequence number, the age
// and figures such as the slots. Nodes compare digests made of it, so another hash
// would make nodes of two versions send each other all records at each renewal.
func (w *Worker) fingerprint() uint64 {
	h := fnv.New64a() // its Write never fails
	for _, s := range []string{w.ID, w.Svc, w.Addr, w.Az, w.Ver, w.Phase, w.Stage} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	var gone byte
	if w.Gone {
		gone = 1
	}
	_, _ = h.Write([]byte{gone})
	for _, m := range w.Models {
		_, _ = h.Write([]byte(m.Name))
		_, _ = h.Write([]byte{byte(m.Ver), byte(m.Ver >> 8), byte(m.Ver >> 16)})
	}
	return h.Sum64()
}
