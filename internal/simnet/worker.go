package simnet

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Defaults of a stand-in.
const (
	defaultSlots  = 8
	defaultEvents = 5
	defaultGap    = 5 * time.Millisecond
)

// Worker is a stand-in for a worker, by the protocol page: it answers plain
// requests at once and prompts as a stream of events. Its exported fields never
// change; its methods may be called while it serves.
type Worker struct {
	ID     string
	Slots  int
	Events int // of a stream

	server *http.Server

	mu          sync.Mutex
	gap         time.Duration // between events
	version     int           // of its weights, 0: it does not say
	tokensPerMs int           // that its prefill reads, 0: it takes no time
	prefixCache map[string]bool
	running     int
	runs        map[string]int // by request id, how often it ran here
	breaks      streamFault    // cut streams off
	mutes       streamFault    // make streams silent; the connection stays open
	failing     map[string]bool
	refused     map[string]bool
	full        bool
}

// streamFault befalls the next streams behind some of their events.
type streamFault struct{ after, left int }

// noFault is the event behind which nothing befalls a stream.
const noFault = -1

// next is the event behind which the fault befalls the next stream, or noFault.
func (sf *streamFault) next() int {
	if sf.left <= 0 {
		return noFault
	}
	sf.left--
	return sf.after
}

// NewStandIn makes a stand-in that is not yet served anywhere.
func NewStandIn(id string) *Worker {
	return &Worker{ID: id, Slots: defaultSlots, Events: defaultEvents, gap: defaultGap, prefixCache: map[string]bool{},
		runs: map[string]int{}, failing: map[string]bool{}, refused: map[string]bool{}}
}

// NewWorker starts a stand-in at an address of the simulated network; Close ends it.
func NewWorker(n *Network, id, addr string) *Worker {
	w := NewStandIn(id)
	w.server = &http.Server{Handler: w}
	l := n.Listen(addr)
	go func() { _ = w.server.Serve(l) }()
	return w
}

// Close crashes the worker.
func (w *Worker) Close() { _ = w.server.Close() }

// SetFull makes it reject requests.
func (w *Worker) SetFull(full bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.full = full
}

// SetGap sets the time between the events of a stream, also of those that run.
func (w *Worker) SetGap(gap time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gap = gap
}

// SetWeights sets the version of its weights, and how many prompt tokens its prefill
// reads a millisecond.
func (w *Worker) SetWeights(version, tokensPerMs int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version, w.tokensPerMs = version, tokensPerMs
}

// Version is the version of its weights, 0 if it does not say.
func (w *Worker) Version() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// Fail makes it answer 500 to a request id.
func (w *Worker) Fail(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing[id] = true
}

// Refuse makes it answer 422 to a request id.
func (w *Worker) Refuse(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refused[id] = true
}

// Break cuts the next streams off behind an event.
func (w *Worker) Break(after, times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks = streamFault{after, times}
}

// Mute makes the next streams fall silent behind an event.
func (w *Worker) Mute(after, times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mutes = streamFault{after, times}
}

// Ran is how often a request ran here.
func (w *Worker) Ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Running is how many requests run there now.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// EventData is the data of event n of a request, the same at every worker.
func EventData(id string, n int) string { return fmt.Sprintf("%s part %d", id, n) }

// VersionedData is the data of event n at weights of a version.
func VersionedData(id string, n, version int) string {
	return fmt.Sprintf("%s v%d", EventData(id, n), version)
}
