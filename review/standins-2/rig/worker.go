package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is a sound stand-in of a worker, as the protocol page has it. It answers a
// stream of Events events, the first after Work, the others at once after it.
type Worker struct {
	ID, Service, Addr string
	Slots             int
	Work              time.Duration
	Events            int

	script *Script
	seq    atomic.Int64
	active atomic.Int64

	mu  sync.Mutex
	got map[string]int // request ids that reached it, and how often
}

// StartWorker opens the worker's address and begins its heartbeats.
func (s *Script) StartWorker(id, service string, slots int, work time.Duration, events int) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Service: service, Addr: listener.Addr().String(), Slots: slots, Work: work, Events: events, script: s, got: map[string]int{}}
	go func() { _ = http.Serve(listener, w) }()
	go w.beat()
	return w, nil
}

// LogRuns writes into the record what the worker has run.
func (w *Worker) LogRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := slices.Sorted(maps.Keys(w.got))
	for i := 0; i < len(ids); i += 10 {
		w.script.Log("worker %s ran %s", w.ID, strings.Join(ids[i:min(i+10, len(ids))], " "))
	}
}

func (w *Worker) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	id := in.Header.Get("X-Rowanshunt-Request-Id")
	out.Header().Set("X-Rowanshunt-Worker", w.ID)
	if id == "" {
		return // a health check
	}
	out.Header().Set("X-Rowanshunt-Request-Id", id)
	if want := in.Header.Get("X-Rowanshunt-Want-Worker"); want != "" && want != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.active.Add(1) > int64(w.Slots) {
		w.active.Add(-1)
		out.Header().Set("X-Rowanshunt-Not-Run", "full")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.active.Add(-1)
	_, _ = io.Copy(io.Discard, in.Body)
	w.mu.Lock()
	w.got[id]++
	w.mu.Unlock()
	time.Sleep(w.Work)
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("X-Rowanshunt-Seal", "seal."+id)
	out.Header().Set("X-Rowanshunt-Worker-Load", fmt.Sprintf("%d,0,%d", w.active.Load(), w.Slots))
	first := 1
	if last, err := strconv.Atoi(in.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= w.Events; n++ {
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
}

// beat sends heartbeats to one edge node after the other.
func (w *Worker) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for at := 0; ; {
		var edges []*Node
		for _, n := range w.script.Nodes {
			if n.Role == "edge" {
				edges = append(edges, n)
			}
		}
		body, _ := json.Marshal(map[string]any{"svc": w.Service, "addr": w.Addr, "az": "kapucinska", "ver": "v1", "slots": w.Slots,
			"phase": "up", "warm_left_ms": 0, "seq": w.seq.Add(1)})
		request, _ := http.NewRequest(http.MethodPut, "http://"+edges[at%len(edges)].IP+":8146/-/workers/"+w.ID, bytes.NewReader(body))
		response, err := client.Do(request)
		if err != nil || response.StatusCode/100 != 2 {
			at++
			time.Sleep(100 * time.Millisecond)
		} else {
			time.Sleep(1200 * time.Millisecond)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}
