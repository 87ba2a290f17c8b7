package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/forward"
	"rowanshunt/internal/simnet"
)

const (
	heartbeatMs  = 1200
	drainMs      = 2000
	queuePlaces  = 2 // requests that wait at a worker beside those that run
	maxEvents    = 12
	minEvents    = 3
	maxEventGap  = 60 * time.Millisecond
	maxService   = 40 * time.Millisecond // of a single response
	minSilence   = 1100 * time.Millisecond
	maxSilence   = 1900 * time.Millisecond // clients bear two seconds
	retryPause   = 100 * time.Millisecond
	callTimeout  = time.Second
	invalidItem  = "invalid" // prefix of the ids of items that no worker can do
	answerPrefix = "answer to "
	idleSeconds  = 4 // after which a worker closes an idle connection
)

// draw is a number that depends on the words alone.
func draw(words ...string) uint64 {
	h := fnv.New64a()
	for _, word := range words {
		_, _ = h.Write([]byte(word))
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64()
	x ^= x >> 29
	return x * 0x9e3779b97f4a7c15 >> 16
}

// eventsOf is how many events the stream of a request has.
func eventsOf(id string) int { return minEvents + int(draw(id)%(maxEvents-minEvents)) }

// worker is a stand-in by the protocol page, in this process. The same request has the
// same response at every worker.
type worker struct {
	id, service, zone string
	slots             int
	fleet             *fleet
	listener          net.Listener
	server            *http.Server
	cancel            context.CancelFunc

	mu       sync.Mutex
	running  int
	waiting  int
	free     chan struct{} // a place for each slot
	phase    string
	sequence int64
	beatURL  string
	lateTill clock.Instant // no heartbeat before
	crashed  bool
}

// fleet is all workers, and what befalls them.
type fleet struct {
	record *Record
	ctlOf  func(n uint64) string // a node for heartbeats

	mu       sync.Mutex
	workers  []*worker
	started  int
	squeezed map[string]*worker // by service, the silent worker while all others are full
}

// startWorker starts a worker of a service at a place of the list.
func (f *fleet) startWorker(place int, service string, slots int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	ctx, cancel := context.WithCancel(context.Background())
	w := &worker{id: fmt.Sprintf("w-%d-%d", place, f.started), service: service, zone: zones[place%len(zones)], slots: slots, fleet: f,
		listener: listener, cancel: cancel, phase: "up", free: make(chan struct{}, slots)}
	w.server = &http.Server{Handler: w, IdleTimeout: idleSeconds * time.Second}
	for len(f.workers) <= place {
		f.workers = append(f.workers, nil)
	}
	f.workers[place] = w
	go func() { _ = w.server.Serve(listener) }()
	go w.beat(ctx)
	return nil
}

// at is the worker at a place of the list.
func (f *fleet) at(place int) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[place%len(f.workers)]
}

// squeeze makes the first worker of a service silent and all others full, until release.
func (f *fleet) squeeze(service string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.squeezed, service)
	if !on {
		return
	}
	for _, w := range f.workers {
		if w.service == service {
			f.squeezed[service] = w
			return
		}
	}
}

// squeezeOf tells how a worker is concerned: it is full, or it makes requests wait.
func (f *fleet) squeezeOf(w *worker) (full, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	chosen := f.squeezed[w.service]
	return chosen != nil && chosen != w, chosen == w
}

// stopAll ends all workers.
func (f *fleet) stopAll() {
	f.mu.Lock()
	workers := append([]*worker{}, f.workers...)
	f.mu.Unlock()
	for _, w := range workers {
		w.crash()
	}
}

// crash ends the worker without a word: its connections are reset.
func (w *worker) crash() {
	w.mu.Lock()
	w.crashed = true
	w.mu.Unlock()
	w.cancel()
	_ = w.server.Close()
}

// leave announces the end, serves on, and ends.
func (w *worker) leave(ctx context.Context) {
	w.mu.Lock()
	w.phase = "draining"
	w.mu.Unlock()
	w.sendHeartbeat(0)
	clock.Sleep(ctx, (drainMs+1000)*time.Millisecond)
	status, _ := call(ctx, http.MethodDelete, "http://"+w.fleet.ctlOf(draw(w.id, "leave"))+"/-/workers/"+w.id, nil, nil)
	_ = status
	w.crash()
}

// beLate holds heartbeats back for a time.
func (w *worker) beLate(span clock.Micros) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateTill = clock.Now().Add(span)
}

// beat sends heartbeats until the worker ends.
func (w *worker) beat(ctx context.Context) {
	for try := uint64(0); ctx.Err() == nil; {
		w.mu.Lock()
		late := clock.Now() < w.lateTill
		w.mu.Unlock()
		switch {
		case late:
			clock.Sleep(ctx, retryPause)
		case w.sendHeartbeat(try):
			clock.Sleep(ctx, heartbeatMs*time.Millisecond)
		default:
			try++
			clock.Sleep(ctx, retryPause)
		}
	}
}

// sendHeartbeat sends one, to the address that the last answer named or to a node; false
// if it was not acknowledged.
func (w *worker) sendHeartbeat(try uint64) bool {
	w.mu.Lock()
	w.sequence++
	url := w.beatURL
	if url == "" {
		url = "http://" + w.fleet.ctlOf(draw(w.id)+try) + "/-/workers/" + w.id
	}
	body, err := json.Marshal(map[string]any{"svc": w.service, "addr": w.listener.Addr().String(), "az": w.zone, "ver": "v1",
		"slots": w.slots, "phase": w.phase, "warm_left_ms": 0, "stage": "both", "seq": w.sequence,
		"models": []map[string]any{{"name": "m", "ver": 1, "loras": []string{}}}})
	w.mu.Unlock()
	if err != nil {
		return false
	}
	status, answer := call(context.Background(), http.MethodPut, url, nil, body)
	var out struct {
		BeatURL string `json:"beat_url"`
	}
	acknowledged := status/100 == 2
	if acknowledged {
		_ = json.Unmarshal(answer, &out)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beatURL = out.BeatURL
	return acknowledged
}

// call makes one call on a fresh connection; status 0 is no answer.
func call(ctx context.Context, method, url string, header http.Header, body []byte) (status int, answer []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Host = header.Get("Host")
	request.Header.Del("Host")
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(forward.HeaderRequestID)
	rw.Header().Set(forward.HeaderRequestID, id)
	rw.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(idleSeconds))
	if r.URL.Path == "/healthz" {
		rw.Header().Set("X-Rowanshunt-Worker", w.id)
		return
	}
	run := Run{Worker: w.id, Service: w.service, ID: id, Target: r.RequestURI, Body: string(body), Started: clock.Now(), End: RunRejected}
	run.After, _ = strconv.Atoi(r.Header.Get(forward.HeaderLastEventID))
	full, silent := w.fleet.squeezeOf(w)
	switch {
	case r.Header.Get(forward.HeaderWantWorker) != w.id:
		w.reject(rw, &run, http.StatusMisdirectedRequest)
		return
	case full || !w.enter(r.Context()):
		w.reject(rw, &run, http.StatusServiceUnavailable)
		return
	}
	defer w.exit()
	run.Started = clock.Now()
	rw.Header().Set(forward.HeaderWorkerLoad, w.load())
	rw.Header().Set(forward.HeaderSeal, "seal."+id)
	run.End = w.respond(rw, r, id, run.After, silent)
	run.Ended = clock.Now()
	w.fleet.record.addRun(run)
	if run.End == RunBrokenOff {
		panic(http.ErrAbortHandler)
	}
}

// reject says that a request was not run.
func (w *worker) reject(rw http.ResponseWriter, run *Run, status int) {
	rw.Header().Set(forward.HeaderWorkerLoad, w.load())
	rw.Header().Set(forward.HeaderNotRun, "1")
	rw.WriteHeader(status)
	run.Ended = clock.Now()
	w.fleet.record.addRun(*run)
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.slots)
}

// enter takes a slot, after a wait in the queue; false if the queue is full or the caller
// left.
func (w *worker) enter(ctx context.Context) bool {
	w.mu.Lock()
	if w.running >= w.slots && w.waiting >= queuePlaces {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	entered := false
	select {
	case w.free <- struct{}{}:
		entered = true
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	if entered {
		w.running++
	}
	return entered
}

func (w *worker) exit() {
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	<-w.free
}

// respond sends the response of a request that runs.
func (w *worker) respond(rw http.ResponseWriter, r *http.Request, id string, after int, silent bool) RunEnd {
	silentAt := -1
	if silent {
		silentAt = int(draw(id, "silent") % 4)
	}
	if r.Header.Get(forward.HeaderTokens) == "" {
		return w.respondOnce(rw, r, id, silentAt)
	}
	if len(id) >= len(invalidItem) && id[:len(invalidItem)] == invalidItem {
		rw.WriteHeader(http.StatusUnprocessableEntity)
		return RunCompleted
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(rw)
	for n := after + 1; n <= eventsOf(id); n++ {
		pause := time.Duration(draw(id, strconv.Itoa(n)) % uint64(maxEventGap))
		if n == after+1+silentAt {
			pause += silenceOf(id)
		}
		if end, ended := w.pause(r.Context(), pause); ended {
			return end
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, simnet.EventData(id, n)); err != nil {
			return RunDropped
		}
		_ = flusher.Flush()
	}
	return RunCompleted
}

// respondOnce sends a single response, in two parts where it falls silent between them.
func (w *worker) respondOnce(rw http.ResponseWriter, r *http.Request, id string, silentAt int) RunEnd {
	pause := time.Duration(draw(id) % uint64(maxService))
	text := answerPrefix + id
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	sent := 0
	if silentAt > 0 {
		sent, _ = io.WriteString(rw, text[:silentAt])
		_ = http.NewResponseController(rw).Flush()
	}
	if silentAt >= 0 {
		pause += silenceOf(id)
	}
	if end, ended := w.pause(r.Context(), pause); ended {
		return end
	}
	if _, err := io.WriteString(rw, text[sent:]); err != nil {
		return RunDropped
	}
	return RunCompleted
}

func silenceOf(id string) time.Duration {
	return minSilence + time.Duration(draw(id, "silence")%uint64(maxSilence-minSilence))
}

// pause waits; ended is true where the caller left or the worker crashed meanwhile.
func (w *worker) pause(ctx context.Context, pause time.Duration) (end RunEnd, ended bool) {
	clock.Sleep(ctx, pause)
	if ctx.Err() == nil {
		return "", false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.crashed {
		return RunBrokenOff, true
	}
	return RunDropped, true
}
