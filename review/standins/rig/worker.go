package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one request that a worker began to work on.
type Run struct {
	Worker, ID, Target, Host string
	After                    int // Last-Event-Id, 0 without one
	Body                     string
	At                       time.Duration
}

// Worker is a stand-in by the protocol page: it answers streams of numbered events, the
// same at every worker, and turns away what it does not run.
type Worker struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Events is how many events a request's stream has, Gap the pause before each. Pause
	// is one more pause before an event, as when a request is put back and read anew.
	Events func(id string) int
	Gap    func(id string) time.Duration
	Pause  func(id string, event int) time.Duration
	// Status is what a request is answered instead, 0 for its stream.
	Status func(id string) int

	record  *Record
	cluster *Cluster
	ln      net.Listener
	server  *http.Server

	mu      sync.Mutex
	running int
	waiting int
	freed   *sync.Cond
	runs    []Run
	phase   string
	seq     int
	stopped bool
	beatURL string
}

// NewWorker makes a worker; Start lets it listen and register.
func (c *Cluster) NewWorker(id, service, zone string, slots, queue int) *Worker {
	w := &Worker{ID: id, Service: service, Zone: zone, Slots: slots, Queue: queue, record: c.record, cluster: c, phase: "up",
		Events: func(string) int { return 10 }, Gap: func(string) time.Duration { return 20 * time.Millisecond },
		Pause: func(string, int) time.Duration { return 0 }, Status: func(string) int { return 0 }}
	w.freed = sync.NewCond(&w.mu)
	return w
}

// Start listens and sends heartbeats until Stop.
func (w *Worker) Start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.ln = ln
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(ln) }()
	go w.beats()
	return nil
}

// Stop ends the worker as a crash does.
func (w *Worker) Stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *Worker) beats() {
	for i := 0; ; {
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		w.seq++
		url := w.beatURL
		if url == "" {
			url = "http://" + w.cluster.Edges[i%len(w.cluster.Edges)].Ctl() + "/-/workers/" + w.ID
		}
		body, _ := json.Marshal(map[string]any{"svc": w.Service, "addr": w.ln.Addr().String(), "az": w.Zone, "ver": "v1", "slots": w.Slots,
			"phase": w.phase, "warm_left_ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "ver": 1, "loras": []string{}}}, "seq": w.seq})
		w.mu.Unlock()
		status, answer, _ := Call("PUT", url, map[string]string{"Content-Type": "application/json"}, body, time.Second)
		if status/100 != 2 {
			w.mu.Lock()
			w.beatURL = ""
			w.mu.Unlock()
			i++
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var out struct {
			BeatURL string `json:"beat_url"`
		}
		_ = json.Unmarshal(answer, &out)
		w.mu.Lock()
		w.beatURL = out.BeatURL
		w.mu.Unlock()
		time.Sleep(1200 * time.Millisecond)
	}
}

// Runs lists what began to run here.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run{}, w.runs...)
}

// Running counts what runs here now.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Rowanshunt-Request-Id")
	rw.Header().Set("X-Rowanshunt-Request-Id", id)
	rw.Header().Set("X-Rowanshunt-Worker", w.ID)
	if r.URL.Path == "/healthz" {
		return
	}
	if want := r.Header.Get("X-Rowanshunt-Want-Worker"); want != "" && want != w.ID {
		w.turnAway(rw, id, http.StatusMisdirectedRequest)
		return
	}
	if !w.enter(r) {
		w.turnAway(rw, id, http.StatusServiceUnavailable)
		return
	}
	defer w.leave()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.mu.Lock()
	w.runs = append(w.runs, Run{Worker: w.ID, ID: id, Target: r.RequestURI, Host: r.Host, After: after, Body: string(body), At: w.record.Now()})
	load := fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.Slots)
	w.mu.Unlock()
	w.record.Logf("worker %s runs %s %s after event %d", w.ID, id, r.RequestURI, after)
	rw.Header().Set("X-Rowanshunt-Worker-Load", load)
	rw.Header().Set("X-Rowanshunt-Weight-Versions", "1")
	rw.Header().Set("X-Rowanshunt-Seal", "seal."+id)
	if status := w.Status(id); status != 0 {
		w.record.Logf("worker %s answers %s with %d", w.ID, id, status)
		rw.WriteHeader(status)
		return
	}
	w.stream(rw, r, id, after)
}

// turnAway says that a request is not run.
func (w *Worker) turnAway(rw http.ResponseWriter, id string, status int) {
	w.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.Slots)
	w.mu.Unlock()
	w.record.Logf("worker %s turns %s away: %d, load %s", w.ID, id, status, load)
	rw.Header().Set("X-Rowanshunt-Worker-Load", load)
	rw.Header().Set("X-Rowanshunt-Not-Run", "1")
	rw.WriteHeader(status)
}

// enter takes a slot, after a wait in the queue; false if both are full, or the caller
// left.
func (w *Worker) enter(r *http.Request) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.Slots && w.waiting >= w.Queue {
		return false
	}
	w.waiting++
	defer func() { w.waiting-- }()
	for w.running >= w.Slots {
		if r.Context().Err() != nil {
			return false
		}
		w.freed.Wait()
	}
	w.running++
	return true
}

func (w *Worker) leave() {
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	w.freed.Broadcast()
}

// EventData is the data of an event, the same at every worker.
func EventData(id string, n int) string { return fmt.Sprintf("%s part %d", id, n) }

func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, id string, after int) {
	rw.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(rw)
	for n := after + 1; n <= w.Events(id); n++ {
		wait := w.Gap(id)
		if pause := w.Pause(id, n); pause > 0 {
			w.record.Logf("worker %s puts %s back before event %d, for %v", w.ID, id, n, pause)
			wait += pause
		}
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			w.record.Logf("worker %s drops %s before event %d: its connection closed", w.ID, id, n)
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, EventData(id, n)); err != nil {
			return
		}
		_ = flusher.Flush()
	}
	w.record.Logf("worker %s ends %s: whole", w.ID, id)
}
