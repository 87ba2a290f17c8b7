package forage

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rowanshunt/internal/flora"
	"rowanshunt/internal/foundation"
	"rowanshunt/internal/scout"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
)

// Heads of the protocol.
const (
	HeadID       = "X-Rowanshunt-Request-Id"
	HeadTimeLeft = "X-Rowanshunt-Time-Left-Ms"
	HeadWant     = "X-Rowanshunt-Want-Worker"
	HeadWantVer  = "X-Rowanshunt-Want-Version"
	HeadNotRun   = "X-Rowanshunt-Not-Run"
	HeadSeal     = "X-Rowanshunt-Seal"
	HeadLoad     = "X-Rowanshunt-Worker-Load"
	HeadPrefix   = "X-Rowanshunt-Prompt-Prefix"
	HeadTokens   = "X-Rowanshunt-Tokens"
	HeadVersions = "X-Rowanshunt-Weight-Versions"
	HeadLastID   = "Last-Event-Id"
)

// Parcel is a request on its way to workers.
type Parcel struct {
	Method string
	Target string // raw, as the client wrote it
	Host   string
	Header http.Header
	Body   []byte
	ID     string
	LeftMs func() int64 // what the client will still wait
	Until  time.Time    // when it is given up
	// Fence is asked right before the bytes go out; false: do not send.
	Fence func() bool
	// Repeatable: it may be sent again, also to the same worker.
	Repeatable bool
	// GapMs is the longest pause between events at which the answer is still in
	// time, 0 if none is named.
	GapMs int64
}

// Sender sends parcels to workers and reads the heads of their answers.
type Sender struct {
	Dir       func() *flora.Directory
	Scout     *scout.Scout
	Circuits  *Circuits
	Blueprint func() *foundation.Blueprint
	Ways      *Slab[Way]
}

// Way is the record of a request at a worker.
type Way struct {
	ctx        context.Context
	circuit    *Circuit
	worker     string
	movedUs    atomic.Int64 // when the worker was last heard
	repeatable bool
	cut        atomic.Bool
	slowUs     int64       // a head later than this counts against the worker
	silentUs   int64       // and so does a silence this long behind the head
	headed     atomic.Bool // the head is there
	blamed     atomic.Bool // it was counted against the worker
}

// youngUs is how long a circuit may have been idle before what cannot be
// repeated goes out on it (design 6.4).
const youngUs = 300_000

// anyAgeUs lets a circuit of any age be used.
const anyAgeUs = int64(1) << 50

// silentUs is how long a suspected worker may be silent on a repeatable
// request before another one is tried (design 6.5).
const silentUs = 500_000

// minHangUs is the least time without a head after which a repeatable request is
// taken from a worker that has room.
const minHangUs = 600_000

// How long a worker may be silent between two events before that counts against
// it (design 7.4): four of the pauses at which an answer is still in time.
const (
	silentPauses = 4
	minMuteUs    = 1_000_000
	maxMuteUs    = 2_000_000
)

// muteUs is that time for a binding's pause, 0 if it names none.
func muteUs(gapMs int64) int64 {
	if gapMs <= 0 {
		return maxMuteUs
	}
	return min(max(silentPauses*gapMs*1000, minMuteUs), maxMuteUs)
}

// Walk looks over all requests at workers: what its client gave up is cut, and
// so is a repeatable one that hangs at a worker nobody reaches, or at one that
// fell silent amid its answers.
func (s *Sender) Walk() {
	nowUs := waggle.NowUs()
	heardUs := map[string]int64{} // when this node last heard anything of a worker
	s.Ways.Each(func(w *Way) {
		if w.headed.Load() {
			heardUs[w.worker] = max(heardUs[w.worker], w.movedUs.Load())
		}
	})
	var slow []string
	s.Ways.Each(func(w *Way) {
		if w.cut.Load() {
			return
		}
		quietUs := nowUs - w.movedUs.Load()
		headed := w.headed.Load()
		late := !headed && quietUs > w.slowUs || headed && quietUs > w.silentUs
		if late && w.ctx.Err() == nil && !w.blamed.Swap(true) {
			slow = append(slow, w.worker)
		}
		// One answer may pause while its worker goes on with others; a worker
		// that lives goes on with some.
		mute := headed && quietUs > w.silentUs && nowUs-heardUs[w.worker] > w.silentUs
		// No head so late hangs, unless the worker's own load explains it.
		hangs := !headed && quietUs > max(w.slowUs, minHangUs) && s.Scout.AtLeisure(w.worker)
		if w.ctx.Err() != nil || w.repeatable && (mute || hangs || quietUs > silentUs && s.Scout.Suspect(w.worker)) {
			w.cut.Store(true)
			_ = w.circuit.conn.SetDeadline(time.Unix(1, 0))
		}
	})
	for _, id := range slow {
		s.Scout.Outcome(id, false)
	}
}

// Answer is a worker's answer whose head was read.
type Answer struct {
	Resp *http.Response
	s    *Sender
	c    *Circuit
	way  *Way
	slot int
	over bool
}

// Moved notes that the worker was heard, or is waited for again.
func (a *Answer) Moved() { a.way.movedUs.Store(waggle.NowUs()) }

// Busy notes that it is not the worker that is waited for now.
func (a *Answer) Busy() { a.way.movedUs.Store(math.MaxInt64) }

// End gives the circuit back if the answer was read whole, else closes it.
func (a *Answer) End(whole bool) {
	if a.over {
		return
	}
	a.over = true
	a.s.Ways.Drop(a.slot)
	if whole && !a.way.cut.Load() {
		if a.Resp.StatusCode >= 200 && a.Resp.StatusCode < 500 && !a.way.blamed.Load() {
			a.s.Scout.Outcome(a.way.worker, true)
		}
		a.s.Circuits.Put(a.c, a.Resp)
	} else {
		a.s.Circuits.Drop(a.c)
	}
}

// unused gives the circuit back: nothing was sent on it.
func (a *Answer) unused() {
	a.over = true
	a.s.Ways.Drop(a.slot)
	if a.way.cut.Load() {
		a.s.Circuits.Drop(a.c)
		return
	}
	a.s.Circuits.Unused(a.c)
}

// What is read of a body that nobody wants, so that its circuit can be used
// again: so much, and for so long.
const (
	maxDiscard  = 64 << 10
	discardTime = 50 * time.Millisecond
)

// Discard ends an answer whose body is not wanted. The circuit is used again
// only if the end of the body was seen.
func (a *Answer) Discard() {
	if a.Resp.ContentLength < 0 || a.Resp.ContentLength > int64(a.c.br.Buffered()) {
		_ = a.c.conn.SetReadDeadline(time.Now().Add(discardTime))
	}
	a.End(discarded(a.Resp.Body, maxDiscard))
}

// discarded reads a body of at most most bytes away, false if its end was not
// seen.
func discarded(body io.Reader, most int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, most+1))
	return err == nil && n <= most
}

// maxOpen is this node's share of the circuits a worker takes (design 6.4).
func (s *Sender) maxOpen(svc string) int {
	b := s.Blueprint()
	if b == nil || b.Services[svc] == nil || b.Services[svc].MaxConn <= 0 {
		return 64
	}
	return max(int(b.Services[svc].MaxConn*9/10/s.Scout.Foragers()), 1)
}

// Send sends the parcel to the worker and reads the head of its answer.
// Faults: Unreached and Conflict, nothing was sent; Declined, the worker says
// that it did not run it; Unsure, it may have run.
func (s *Sender) Send(ctx context.Context, w *flora.Worker, p *Parcel, repeatable bool) (*Answer, error) {
	a, err := s.send(ctx, w, p, repeatable, anyAgeUs)
	if err == errForgotten {
		// Nothing of an answer came on a circuit that was idle: the worker had
		// forgotten it. A new one, the same worker (design 6.4).
		s.Circuits.Forgot(w.ID)
		a, err = s.send(ctx, w, p, repeatable, 0)
		if err != nil && !wax.Is(err, wax.Unsure) {
			// The second send promises nothing for the first.
			err = wax.New(wax.Unsure, w.ID, "forgot its circuit: "+err.Error(), "")
		}
	}
	return a, err
}

// stopped is the fence at the write: a client that left or has no time left, a
// worker that left in the meantime, or a claim on the parcel that ended, stops
// it here (design 6.3). Its faults promise that nothing was sent.
func (s *Sender) stopped(ctx context.Context, w *flora.Worker, p *Parcel) error {
	switch {
	case ctx.Err() != nil:
		return wax.New(wax.Conflict, w.ID, "nobody waits for the answer any more", "")
	case !time.Now().Before(p.Until):
		return wax.New(wax.Conflict, w.ID, "no time was left before the request was sent", "")
	case s.Dir().ByID[w.ID] == nil || p.Fence != nil && !p.Fence():
		return wax.New(wax.Conflict, w.ID, "left before the request was sent", "try another worker")
	}
	return p.check(w.ID)
}

// errForgotten: a circuit that was idle ended before any byte of an answer, and
// the parcel may be repeated.
var errForgotten = wax.New(wax.Unsure, "circuit", "was forgotten by the worker", "send again on a new one")

func (s *Sender) send(ctx context.Context, w *flora.Worker, p *Parcel, repeatable bool, ageUs int64) (*Answer, error) {
	if !p.Repeatable {
		ageUs = min(ageUs, youngUs)
	}
	c, err := s.Circuits.Get(ctx, w, p.ID, s.maxOpen(w.Svc), ageUs)
	if err != nil {
		if wax.Is(err, wax.Unreached) && ctx.Err() == nil {
			s.Scout.Failed(w.ID, true)
		}
		return nil, err
	}
	way := &Way{ctx: ctx, circuit: c, worker: w.ID, repeatable: repeatable, slowUs: s.Scout.SlowUs(w.Svc), silentUs: muteUs(p.GapMs)}
	sentUs := waggle.NowUs()
	way.movedUs.Store(sentUs)
	_ = c.conn.SetDeadline(p.Until) // before the walk may cut it
	slot, ok := s.Ways.Put(way)
	if !ok {
		s.Circuits.Unused(c)
		return nil, wax.New(wax.Conflict, "slab", "too many requests are under way", "try again later")
	}
	a := &Answer{s: s, c: c, way: way, slot: slot}
	if err := s.stopped(ctx, w, p); err != nil {
		a.unused()
		return nil, err
	}
	err = p.write(c.bw, w.ID)
	if err == nil && c.reused {
		_, err = c.br.Peek(1)
	}
	if err != nil {
		forgotten := c.reused && p.Repeatable && !way.cut.Load() && ctx.Err() == nil && time.Now().Before(p.Until)
		a.End(false)
		if forgotten {
			return nil, errForgotten
		}
		s.broke(ctx, a, w)
		return nil, wax.New(wax.Unsure, w.ID, "broke off before an answer: "+err.Error(), "")
	}
	a.Resp, err = c.answerTo(p)
	if err != nil {
		a.End(false)
		if err != errForeign {
			s.broke(ctx, a, w)
		}
		return nil, wax.New(wax.Unsure, w.ID, "no answer: "+err.Error(), "")
	}
	a.Moved()
	way.headed.Store(true)
	s.heard(w.ID, a.Resp.Header)
	if a.Resp.Header.Get(HeadNotRun) != "" || a.Resp.StatusCode == http.StatusMisdirectedRequest {
		status := a.Resp.StatusCode
		a.Discard()
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			s.Scout.Full(w.ID)
		} else if status == http.StatusMisdirectedRequest {
			s.Scout.Failed(w.ID, true)
		}
		return nil, wax.New(wax.Declined, strconv.Itoa(status), "the worker did not run it", "")
	}
	if a.Resp.StatusCode < 500 {
		s.Scout.Heads(w.Svc, waggle.NowUs()-sentUs)
	} else {
		s.Scout.Outcome(w.ID, false)
	}
	return a, nil
}

func (s *Sender) broke(ctx context.Context, a *Answer, w *flora.Worker) {
	if ctx.Err() == nil {
		if !a.way.blamed.Swap(true) {
			s.Scout.Outcome(w.ID, false)
		}
		s.Scout.Failed(w.ID, a.way.cut.Load())
	}
}

func (s *Sender) heard(worker string, h http.Header) {
	parts := strings.Split(h.Get(HeadLoad), ",")
	if len(parts) != 3 {
		return
	}
	var n [3]int64
	for i, p := range parts {
		v, err := strconv.ParseInt(strings.TrimSpace(p), 10, 64)
		if err != nil {
			return
		}
		n[i] = v
	}
	s.Scout.Heard(worker, n[0], n[1], n[2])
}
