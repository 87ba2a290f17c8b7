package simnet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the protocol page that a worker reads or writes.
const (
	headerLastEventID    = "Last-Event-Id"
	headerNotRun         = "X-Rowanshunt-Not-Run"
	headerPromptPrefix   = "X-Rowanshunt-Prompt-Prefix"
	headerRequestID      = "X-Rowanshunt-Request-Id"
	headerSeal           = "X-Rowanshunt-Seal"
	headerTokens         = "X-Rowanshunt-Tokens"
	headerWantVersion    = "X-Rowanshunt-Want-Version"
	headerWantWorker     = "X-Rowanshunt-Want-Worker"
	headerWeightVersions = "X-Rowanshunt-Weight-Versions"
	headerWorker         = "X-Rowanshunt-Worker"
	headerWorkerLoad     = "X-Rowanshunt-Worker-Load"
)

// run is one request that the worker accepted, with what befalls it.
type run struct {
	id         string
	version    int // of the weights, 0: it does not say
	status     int // with which it fails, 0: it does not
	breakAfter int // events, or noFault
	muteAfter  int // events, or noFault
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	accepted, ok := w.accept(rw, r)
	if !ok {
		return
	}
	defer w.finish()
	if accepted.status != 0 {
		rw.WriteHeader(accepted.status)
		return
	}
	rw.Header().Set(headerSeal, "seal."+accepted.id)
	if accepted.version > 0 {
		rw.Header().Set(headerWeightVersions, strconv.Itoa(accepted.version))
	}
	if r.Header.Get(headerTokens) != "" {
		w.stream(rw, r, accepted)
		return
	}
	if accepted.breakAfter != noFault {
		breakOff()
	}
	_, _ = fmt.Fprintf(rw, "%s %s %s", r.Method, r.RequestURI, body)
}

// accept takes a slot for a request, or answers why it is not run.
func (w *Worker) accept(rw http.ResponseWriter, r *http.Request) (accepted run, ok bool) {
	id := r.Header.Get(headerRequestID)
	rw.Header().Set(headerRequestID, id)
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set(headerWorkerLoad, fmt.Sprintf("%d,0,%d", w.running, w.Slots))
	wantVersion := r.Header.Get(headerWantVersion)
	switch {
	case r.Header.Get(headerWantWorker) != w.ID:
		rw.Header().Set(headerWorker, w.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return run{}, false
	case w.version > 0 && wantVersion != "" && wantVersion != strconv.Itoa(w.version):
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return run{}, false
	case w.full || w.running >= w.Slots:
		rw.Header().Set(headerNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return run{}, false
	}
	w.runs[id]++
	w.running++
	return run{id: id, version: w.version, status: w.failure(id), breakAfter: w.breaks.next(), muteAfter: w.mutes.next()}, true
}

// failure is the status with which a request fails, 0 if it does not. Call it with mu
// held.
func (w *Worker) failure(id string) int {
	switch {
	case w.failing[id]:
		return http.StatusInternalServerError
	case w.refused[id]:
		return http.StatusUnprocessableEntity
	}
	return 0
}

func (w *Worker) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// breakOff cuts a response off where it is.
func breakOff() { panic(http.ErrAbortHandler) }

// stream answers a prompt with events, from the one after Last-Event-Id on.
func (w *Worker) stream(rw http.ResponseWriter, r *http.Request, accepted run) {
	rw.Header().Set("Content-Type", "text/event-stream")
	if d := w.prefill(r.Header.Get(headerPromptPrefix)); d > 0 && !wait(r.Context(), d) {
		return
	}
	first := 1
	if n, err := strconv.Atoi(r.Header.Get(headerLastEventID)); err == nil {
		first = n + 1
	}
	for n := first; n <= w.Events; n++ {
		if accepted.breakAfter != noFault && n > accepted.breakAfter {
			breakOff()
		}
		if accepted.muteAfter != noFault && n > accepted.muteAfter {
			<-r.Context().Done()
			return
		}
		if !w.sendEvent(r.Context(), rw, accepted, n) {
			return
		}
	}
}

// sendEvent sends one event after its gap; false: the caller is gone.
func (w *Worker) sendEvent(ctx context.Context, rw http.ResponseWriter, accepted run, n int) bool {
	if !wait(ctx, w.currentGap()) {
		return false
	}
	data := EventData(accepted.id, n)
	if accepted.version > 0 {
		data = VersionedData(accepted.id, n, accepted.version)
	}
	if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, data); err != nil {
		return false
	}
	return http.NewResponseController(rw).Flush() == nil
}

func (w *Worker) currentGap() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gap
}

// prefill is the time to read the segments of a prompt that are not in the prefix
// cache, and puts them there.
func (w *Worker) prefill(promptPrefix string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tokensPerMs <= 0 {
		return 0
	}
	tokens := 0
	for _, segment := range strings.Split(promptPrefix, ",") {
		id, count, ok := strings.Cut(segment, ":")
		if n, err := strconv.Atoi(count); ok && err == nil && !w.prefixCache[id] {
			w.prefixCache[id] = true
			tokens += n
		}
	}
	return time.Duration(tokens) * time.Millisecond / time.Duration(w.tokensPerMs)
}
