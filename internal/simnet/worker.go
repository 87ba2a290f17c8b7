package simnet

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in for a worker, by the protocol page: it answers plain
// requests whole and prompts as a stream of events.
type Worker struct {
	ID     string
	Slots  int
	Events int           // of a stream
	Gap    time.Duration // between events
	Ver    int           // of its weights, 0: not told
	// ReadPerMs is how many prompt tokens it reads a millisecond, 0: no time.
	// Parts it read before are kept.
	ReadPerMs int
	kept      map[string]bool

	mu      sync.Mutex
	server  *http.Server
	running int
	// Runs counts how often each request id ran here, from its first event.
	Runs map[string]int
	// BreakAfter cuts the next streams off behind that many events, so often.
	BreakAfter, Breaks int
	// MuteAfter makes the next streams fall silent behind that many events, so
	// often: the connection stays open.
	MuteAfter, Mutes int
	// FailItems answers 500, NeverItems 422, to the ids named.
	FailItems, NeverItems map[string]bool
	full                  bool
}

// NewStandIn makes a stand-in that is not yet served anywhere.
func NewStandIn(id string) *Worker {
	return &Worker{ID: id, Slots: 8, Events: 5, Gap: 5 * time.Millisecond, Runs: map[string]int{}, FailItems: map[string]bool{}, NeverItems: map[string]bool{}}
}

// NewWorker starts a stand-in at an address of the simulated network.
func NewWorker(m *Network, id, addr string) *Worker {
	w := NewStandIn(id)
	w.server = &http.Server{Handler: w}
	l := m.Listen(addr)
	go func() { _ = w.server.Serve(l) }()
	return w
}

// Close crashes the worker.
func (w *Worker) Close() { _ = w.server.Close() }

// SetFull makes it turn requests away.
func (w *Worker) SetFull(full bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.full = full
}

// Break makes the next streams break off.
func (w *Worker) Break(after, times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.BreakAfter, w.Breaks = after, times
}

// Mute makes the next streams fall silent.
func (w *Worker) Mute(after, times int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.MuteAfter, w.Mutes = after, times
}

// Ran tells how often a request ran here.
func (w *Worker) Ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Runs[id]
}

// EventData is the data of event n of a request, the same at every worker.
func EventData(id string, n int) string { return fmt.Sprintf("%s part %d", id, n) }

// VersionedData is the data of event n at weights of a version.
func VersionedData(id string, n, ver int) string { return fmt.Sprintf("%s v%d", EventData(id, n), ver) }

// read spends the time that the parts of the prompt not kept yet take.
func (w *Worker) read(r *http.Request) bool {
	if w.ReadPerMs <= 0 {
		return true
	}
	toks := 0
	w.mu.Lock()
	if w.kept == nil {
		w.kept = map[string]bool{}
	}
	for _, part := range strings.Split(r.Header.Get("X-Rowanshunt-Prompt-Prefix"), ",") {
		id, n, ok := strings.Cut(part, ":")
		if k, err := strconv.Atoi(n); ok && err == nil && !w.kept[id] {
			w.kept[id] = true
			toks += k
		}
	}
	w.mu.Unlock()
	t := time.NewTimer(time.Duration(toks) * time.Millisecond / time.Duration(w.ReadPerMs))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// Running tells how much runs there now.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Rowanshunt-Request-Id")
	body, _ := io.ReadAll(r.Body)
	h := rw.Header()
	h.Set("X-Rowanshunt-Request-Id", id)
	w.mu.Lock()
	h.Set("X-Rowanshunt-Worker-Load", fmt.Sprintf("%d,0,%d", w.running, w.Slots))
	switch {
	case r.Header.Get("X-Rowanshunt-Want-Worker") != w.ID:
		w.mu.Unlock()
		h.Set("X-Rowanshunt-Worker", w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case w.Ver > 0 && r.Header.Get("X-Rowanshunt-Want-Version") != "" && r.Header.Get("X-Rowanshunt-Want-Version") != strconv.Itoa(w.Ver):
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case w.full || w.running >= w.Slots:
		w.mu.Unlock()
		h.Set("X-Rowanshunt-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Runs[id]++
	w.running++
	fail, never := w.FailItems[id], w.NeverItems[id]
	breakAfter := -1
	if w.Breaks > 0 {
		w.Breaks--
		breakAfter = w.BreakAfter
	}
	muteAfter := -1
	if w.Mutes > 0 {
		w.Mutes--
		muteAfter = w.MuteAfter
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	switch {
	case fail:
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case never:
		rw.WriteHeader(http.StatusUnprocessableEntity)
		return
	}
	h.Set("X-Rowanshunt-Seal", "seal."+id)
	if w.Ver > 0 {
		h.Set("X-Rowanshunt-Weight-Versions", strconv.Itoa(w.Ver))
	}
	if r.Header.Get("X-Rowanshunt-Tokens") == "" {
		if breakAfter >= 0 {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rw, "%s %s %s", r.Method, r.RequestURI, body)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	if !w.read(r) {
		return
	}
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	rc := http.NewResponseController(rw)
	for n := first; n <= w.Events; n++ {
		if breakAfter >= 0 && n > breakAfter {
			panic(http.ErrAbortHandler)
		}
		if muteAfter >= 0 && n > muteAfter {
			<-r.Context().Done()
			return
		}
		t := time.NewTimer(w.Gap)
		select {
		case <-t.C:
		case <-r.Context().Done():
			t.Stop()
			return
		}
		data := EventData(id, n)
		if w.Ver > 0 {
			data = VersionedData(id, n, w.Ver)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, data); err != nil {
			return
		}
		if rc.Flush() != nil {
			return
		}
	}
}
