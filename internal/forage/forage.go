package forage

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rowanshunt/internal/flora"
	"rowanshunt/internal/foundation"
	"rowanshunt/internal/nectar"
	"rowanshunt/internal/scout"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
)

// answerHeads are the heads of a worker's answer that clients get: an allow
// list (design 6.6).
var answerHeads = []string{"Content-Type", "Content-Length", HeadID, HeadSeal, HeadVersions, "Retry-After", "Cache-Control",
	"Content-Language", "Content-Encoding", "Content-Disposition", "Etag", "Expires", "Last-Modified", "Location", "Vary"}

// circuitHeads concern one circuit only and are not passed on to workers. The
// protocol asks that all others are, so here the rule goes before the house's
// allow list (design 6.6).
var circuitHeads = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length", HeadWant, HeadTimeLeft}

// protocolPrefix begins the names of the protocol's own headers.
const protocolPrefix = "X-Rowanshunt-"

// wholeBytes is how much of an answer is read before the client gets any of it.
const wholeBytes = 256 << 10

// Forage serves clients' requests.
type Forage struct {
	Sender    *Sender
	Blueprint func() *foundation.Blueprint
	Log       *wax.Log
	// BodyBytes bounds what the bodies under way hold together.
	BodyBytes int64
	HbMs      int64 // how often workers beat
	// Gate keeps calls to their tenants' fair shares (design 17.4).
	Gate *nectar.Gate
	held atomic.Int64
}

// job is one client's try on its way.
type job struct {
	f       *Forage
	w       http.ResponseWriter
	r       *http.Request
	b       *foundation.Binding
	parcel  *Parcel
	need    scout.Need
	readTok int64
	tries   int64
	begun   bool // the client has the head of an answer
	lastID  int64
	hasLast bool
	unnamed bool // the client has data of an event without an id: no worker can go on behind it
	startUs int64
	firstUs int64 // when the first event, or the answer, was there
	failed  bool
	waited  bool  // for room that its tenant is guaranteed
	version int64 // of the weights that the stream began with, 0 if not told
}

// Decline answers that the request has not run and never will, and when to
// come back (design 6.7).
func Decline(w http.ResponseWriter, status int, afterMs int64, why string) {
	w.Header().Set("Retry-After", strconv.FormatFloat(float64(afterMs)/1000, 'f', 3, 64))
	http.Error(w, why, status)
}

// ServeHTTP takes one request from its client to its answer.
func (f *Forage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := f.Blueprint()
	if b == nil {
		Decline(w, http.StatusServiceUnavailable, 500, "no blueprint yet")
		return
	}
	binding := b.Find(r.Host, r.RequestURI)
	if binding == nil {
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	id := r.Header.Get(HeadID)
	if id == "" || len(id) > 256 {
		http.Error(w, HeadID+" is missing", http.StatusBadRequest)
		return
	}
	leftMs := binding.LimitMs
	if s := r.Header.Get(HeadTimeLeft); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 0 {
			http.Error(w, HeadTimeLeft+" is no number of milliseconds", http.StatusBadRequest)
			return
		}
		leftMs = min(n, leftMs)
	}
	until := time.Now().Add(time.Duration(leftMs) * time.Millisecond)
	body, status := f.readBody(w, r, b.Caps.PayloadBytes, until)
	defer f.held.Add(-int64(len(body)))
	if status != 0 {
		switch status {
		case http.StatusServiceUnavailable, http.StatusRequestTimeout:
			w.Header().Set("Connection", "close")
			Decline(w, status, 300, "the body was not taken")
		default:
			http.Error(w, "the body cannot be taken", status)
		}
		return
	}
	j := &job{f: f, w: w, r: r, b: binding, startUs: waggle.NowUs()}
	defer j.fare()
	j.parcel = &Parcel{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: passOn(r.Header), Body: body, ID: id,
		LeftMs: func() int64 { return time.Until(until).Milliseconds() }, Until: until, Repeatable: binding.Repeatable(), GapMs: binding.GapGoalMs}
	j.need = scout.Need{Svc: binding.Pick(rand.Uint64()), Parts: scout.ParseParts(r.Header.Get(HeadPrefix))}
	if v, err := strconv.ParseInt(r.Header.Get(HeadWantVer), 10, 64); err == nil {
		j.need.Version = v
	}
	if n, err := strconv.ParseInt(r.Header.Get(HeadLastID), 10, 64); err == nil {
		j.lastID, j.hasLast = n, true
	}
	if n := len(j.need.Parts); n > 0 {
		j.readTok = j.need.Parts[n-1].Toks
	}
	if f.Gate.Active(j.need.Svc) {
		ticket, admitted := f.Gate.Admit(j.need.Svc, r.Host, tokens(r.Header.Get(HeadTokens)))
		if !admitted {
			j.failed = true
			Decline(w, http.StatusServiceUnavailable, overShareMs, "over its tenant's share while others need the room")
			return
		}
		defer ticket.Release()
	}
	j.run()
}

// overShareMs is when a call that was over its tenant's share may come again: by
// then the node has a newer grant (design 17.4).
const overShareMs = 300

// tokens sums those of the prompt and the most out; what cannot be read is 0.
func tokens(head string) int64 {
	var sum int64
	for _, s := range strings.Split(head, ",") {
		if n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64); err == nil && n > 0 && n < 1<<32 {
			sum += n
		}
	}
	return sum
}

func passOn(h http.Header) http.Header {
	out := make(http.Header, len(h))
	drop := map[string]bool{}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			// The protocol's own headers concern the worker, whatever is said here.
			drop[name] = !strings.HasPrefix(name, protocolPrefix)
		}
	}
	for k, v := range h {
		if !drop[k] {
			out[k] = v
		}
	}
	for _, k := range circuitHeads {
		delete(out, k)
	}
	return out
}

// run tries workers until one answers, the tries are used up, or what was sent
// may have run and must not run again.
func (j *job) run() {
	ctx := j.r.Context()
	mayHaveRun := false
	noPlace := 0
	for {
		if ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if time.Now().After(j.parcel.Until) {
			j.giveUp(mayHaveRun, true, 0)
			return
		}
		if j.unnamed {
			j.giveUp(true, false, 0)
			return
		}
		if j.tries >= j.b.Tries {
			if !mayHaveRun && j.waits(ctx) {
				continue
			}
			j.giveUp(mayHaveRun, false, 250)
			return
		}
		if j.begun && j.version > 0 {
			j.need.Version = j.version
		}
		dir := j.f.Sender.Dir()
		worker := j.f.Sender.Scout.Pick(dir, &j.need)
		if worker == nil && len(j.need.Exclude) > 0 && j.b.Repeatable() {
			j.need.Exclude = nil
			worker = j.f.Sender.Scout.Pick(dir, &j.need)
		}
		if worker == nil {
			if !mayHaveRun && j.waits(ctx) {
				continue
			}
			j.giveUp(mayHaveRun, false, j.noWorkerMs(dir))
			return
		}
		ran, finished, err := j.try(ctx, worker)
		if finished {
			return
		}
		switch wax.KindOf(err) {
		case wax.Unreached, wax.Conflict:
			noPlace++
			if noPlace > 3+len(dir.BySvc[j.need.Svc])/2 {
				j.giveUp(mayHaveRun, false, 400)
				return
			}
		default:
			j.tries++
		}
		j.need.Exclude = append(j.need.Exclude, worker.ID)
		mayHaveRun = mayHaveRun || ran
		if ran && !j.b.Repeatable() {
			j.giveUp(true, false, 0)
			return
		}
	}
}

// Where the tenant of a call is within what it is guaranteed, the room that
// others borrowed is coming back: the call waits for it, no longer than its goal
// (design 17.4).
const (
	waitStep   = 20 * time.Millisecond
	maxWaitsUs = 500_000
)

// waits lets such a call wait a step and begin anew, false if it may not.
func (j *job) waits(ctx context.Context) bool {
	goalUs := int64(maxWaitsUs)
	if j.b.GoalMs > 0 {
		goalUs = min(j.b.GoalMs*1000, maxWaitsUs)
	}
	if waggle.NowUs()-j.startUs >= goalUs || !j.f.Gate.Entitled(j.need.Svc, j.r.Host) {
		return false
	}
	if !j.waited {
		j.waited = true
		j.f.Gate.Short(j.need.Svc, j.r.Host)
	}
	waggle.Pause(ctx, waitStep)
	j.tries, j.need.Exclude = 0, nil
	return true
}

// noWorkerMs is when to come back if no worker can be picked: where none is
// known at all, once each had time to beat.
func (j *job) noWorkerMs(dir *flora.Directory) int64 {
	if len(dir.BySvc[j.need.Svc]) == 0 && j.f.HbMs > 0 {
		return j.f.HbMs
	}
	return 400
}

// fare notes how the request fared, for upgrades to judge by.
func (j *job) fare() {
	late := j.firstUs == 0 || j.b.GoalMs > 0 && j.firstUs-j.startUs > j.b.GoalMs*1000
	j.f.Sender.Scout.Fare(j.need.Svc, late, j.failed || j.firstUs == 0)
}

// moved notes that something of the answer is there.
func (j *job) moved() {
	if j.firstUs == 0 {
		j.firstUs = waggle.NowUs()
	}
}

// giveUp answers at once: a promise where nothing has run, else none.
func (j *job) giveUp(mayHaveRun, late bool, afterMs int64) {
	j.failed = true
	if j.begun {
		panic(http.ErrAbortHandler)
	}
	switch {
	case !mayHaveRun:
		j.f.Gate.Short(j.need.Svc, j.r.Host)
		Decline(j.w, http.StatusServiceUnavailable, max(afterMs, 100), "no worker took it")
	case late:
		http.Error(j.w, "no answer in time", http.StatusGatewayTimeout)
	default:
		http.Error(j.w, "the worker broke off", http.StatusBadGateway)
	}
}

// try sends the request to one worker. ran: it may have run there. finished:
// the client has its answer.
func (j *job) try(ctx context.Context, worker *flora.Worker) (ran, finished bool, err error) {
	s := j.f.Sender
	defer s.Scout.Done(worker.ID, false)
	if j.hasLast {
		j.parcel.Header.Set(HeadLastID, strconv.FormatInt(j.lastID, 10))
	}
	if j.begun && j.version > 0 {
		// One stream never joins pieces of two weight versions (design 13.5).
		j.parcel.Header.Set(HeadWantVer, strconv.FormatInt(j.version, 10))
	}
	s.Scout.Reading(worker.ID, j.readTok)
	reading := true
	read := func() {
		if reading {
			reading = false
			s.Scout.Reading(worker.ID, -j.readTok)
		}
	}
	defer read()
	a, err := s.Send(ctx, worker, j.parcel, j.b.Repeatable() && j.tries+1 < j.b.Tries)
	if err != nil {
		return wax.Is(err, wax.Unsure), false, err
	}
	defer a.End(false)
	if j.b.Type == foundation.Stream && a.Resp.StatusCode == http.StatusOK {
		return j.stream(a, read)
	}
	if j.begun {
		// The client is amid a stream; another kind of answer cannot go on with it.
		a.Discard()
		return true, false, wax.New(wax.Unsure, worker.ID, "does not go on with the stream", "")
	}
	if a.Resp.StatusCode >= 500 && j.b.Repeatable() && j.tries+1 < j.b.Tries {
		a.Discard()
		return true, false, wax.New(wax.Unsure, worker.ID, "failed", "")
	}
	return j.whole(a)
}

// whole passes on an answer that is no stream, once it was read whole.
func (j *job) whole(a *Answer) (ran, finished bool, err error) {
	resp := a.Resp
	if resp.StatusCode < 300 && resp.Header.Get(HeadSeal) == "" {
		return true, false, wax.New(wax.Unsure, a.way.worker, "the answer has no seal", "")
	}
	if resp.ContentLength > wholeBytes {
		return j.long(a)
	}
	// A body without a length ends with its connection: in order, it is whole; reset
	// on the way, the read fails (design 6.5).
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeBytes+1))
	if err != nil {
		return true, false, wax.New(wax.Unsure, a.way.worker, "broke off: "+err.Error(), "")
	}
	if len(body) > wholeBytes {
		j.head(resp)
		j.w.WriteHeader(resp.StatusCode)
		j.begun = true
		j.bound()
		if _, err := j.w.Write(body); err != nil {
			panic(http.ErrAbortHandler)
		}
		return j.rest(a)
	}
	a.End(true)
	j.moved()
	j.failed = resp.StatusCode >= 500
	j.head(resp)
	if resp.ContentLength < 0 && j.r.Method != http.MethodHead {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	j.w.WriteHeader(resp.StatusCode)
	_, _ = j.w.Write(body)
	return true, true, nil
}

func (j *job) long(a *Answer) (ran, finished bool, err error) {
	j.head(a.Resp)
	j.w.WriteHeader(a.Resp.StatusCode)
	j.bound()
	return j.rest(a)
}

// clientGrace is how long after the request's time its client may take to read
// the rest of the answer.
const clientGrace = time.Second

// bound ends the writing of a long answer to a client that stopped reading.
func (j *job) bound() {
	_ = http.NewResponseController(j.w).SetWriteDeadline(j.parcel.Until.Add(clientGrace))
}

// unbound is for the next request on the client's connection.
func (j *job) unbound() { _ = http.NewResponseController(j.w).SetWriteDeadline(time.Time{}) }

func (j *job) rest(a *Answer) (ran, finished bool, err error) {
	j.begun = true
	j.moved()
	a.Busy() // the client has a part of it: it cannot go on elsewhere
	if _, err := io.Copy(j.w, a.Resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	a.End(true)
	j.unbound()
	return true, true, nil
}

func (j *job) head(resp *http.Response) {
	h := j.w.Header()
	for _, k := range answerHeads {
		if v := resp.Header[k]; len(v) > 0 {
			h[k] = v
		}
	}
	if resp.Header["Content-Type"] == nil {
		h["Content-Type"] = nil // none of our own
	}
}

// stream passes events on as they come. After a break it goes on at another
// worker behind the last event passed on, within the same answer.
func (j *job) stream(a *Answer, read func()) (ran, finished bool, err error) {
	resp := a.Resp
	if resp.Header.Get(HeadSeal) == "" {
		return true, false, wax.New(wax.Unsure, a.way.worker, "the stream has no seal", "")
	}
	if v, ok := headVersion(resp); ok && j.begun && j.version > 0 && v != j.version {
		return true, false, wax.New(wax.Unsure, a.way.worker, "goes on with other weights", "")
	}
	er := eventReaders.Get().(*eventReader)
	defer eventReaders.Put(er)
	er.br.Reset(resp.Body)
	rc := http.NewResponseController(j.w)
	for {
		var ev Event
		ev, er.buf, err = ReadEvent(er.br, er.buf)
		if err == io.EOF {
			a.End(true)
			if !j.begun {
				j.begin(resp)
			}
			j.unbound()
			return true, true, nil
		}
		if err != nil {
			j.f.Sender.broke(j.r.Context(), a, &flora.Worker{ID: a.way.worker})
			return true, false, wax.New(wax.Unsure, a.way.worker, "the stream broke off: "+err.Error(), "")
		}
		if ev.HasID && j.hasLast && ev.ID != j.lastID+1 {
			return true, false, wax.New(wax.Unsure, a.way.worker, "an event is missing or doubled", "")
		}
		read()
		a.Busy()
		j.moved()
		if !j.begun {
			j.begin(resp)
		}
		if v, ok := ev.Version(); ok {
			j.version = v
		}
		if _, err := j.w.Write(ev.Raw); err != nil {
			panic(http.ErrAbortHandler)
		}
		if err := rc.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
		a.Moved()
		if ev.HasID {
			j.lastID, j.hasLast = ev.ID, true
		} else if ev.HasData() {
			j.unnamed = true
		}
	}
}

func (j *job) begin(resp *http.Response) {
	j.head(resp)
	j.w.Header().Del("Content-Length") // a resumed answer may differ in length
	j.w.WriteHeader(resp.StatusCode)
	j.begun = true
	j.bound()
	if v, ok := headVersion(resp); ok {
		j.version = v
	}
}

type eventReader struct {
	br  *bufio.Reader
	buf []byte
}

var eventReaders = newEventReaders()

// Sweep is the upkeep of requests and circuits, to be run every 100 ms.
func (f *Forage) Sweep() {
	f.Sender.Walk()
	f.Sender.Circuits.Sweep(f.Sender.Dir())
}

// SweepUs is how often Sweep wants to be run.
const SweepUs = 100_000
