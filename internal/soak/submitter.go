package soak

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/forward"
)

// submitter submits batch jobs, reads their results, and cancels some.
type submitter struct {
	number int
	rng    *rand.Rand
	nodes  func(n uint64) nodeSpec
	record *Record
	sent   int
}

const (
	maxItems     = 30
	submitWindow = 10 * clock.Second // for which a job is submitted again
	maxJobPause  = 1500 * time.Millisecond
	readPause    = 400 * time.Millisecond
	cancelOneIn  = 6
	invalidOneIn = 25
	rereadOneIn  = 5
	followLimit  = 25 * clock.Second
	itemTokens   = 300
	phaseDone    = "done"
	phaseGaveUp  = "gave_up"
)

// itemDocument is an item as clients submit it.
type itemDocument struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"hdrs"`
	Body    string            `json:"body"`
	Tokens  int               `json:"toks"`
}

// run submits jobs until ctx ends; follow ends the reading of those that are under way.
func (s *submitter) run(ctx, follow context.Context) {
	for ctx.Err() == nil {
		s.handle(ctx, follow, s.draw())
		clock.Sleep(ctx, time.Duration(s.rng.Int64N(int64(maxJobPause))))
	}
}

// draw is the next job.
func (s *submitter) draw() *Job {
	s.sent++
	job := &Job{ID: fmt.Sprintf("j%d-%d", s.number, s.sent)}
	for i := range 1 + s.rng.IntN(maxItems) {
		id := fmt.Sprintf("%s-i%d", job.ID, i)
		if s.rng.IntN(invalidOneIn) == 0 {
			id = invalidItem + id
		}
		job.Items = append(job.Items, Item{ID: id, Target: batchPrefix + id, Body: "item " + id})
	}
	s.record.add(func(o *Observations) { o.Jobs = append(o.Jobs, job) })
	return job
}

// handle submits a job and, if it is accepted, reads it to its end.
func (s *submitter) handle(ctx, follow context.Context, job *Job) {
	if !s.submit(ctx, job) {
		return
	}
	cancelAt := clock.Instant(0)
	if s.rng.IntN(cancelOneIn) == 0 {
		cancelAt = clock.Now().Add(clock.Micros(s.rng.Int64N(int64(2 * clock.Second))))
	}
	until := clock.Now().Add(followLimit)
	for next := 0; follow.Err() == nil && clock.Now() < until && next < len(job.Items); {
		if cancelAt != 0 && clock.Now() > cancelAt {
			s.cancel(follow, job)
			return
		}
		start := next
		if s.rng.IntN(rereadOneIn) == 0 {
			start = s.rng.IntN(next + 1)
		}
		if read := s.read(follow, job, start, false); read.Status == http.StatusOK {
			next = max(next, start+len(read.Results))
		}
		clock.Sleep(follow, readPause)
	}
}

// submit sends the job to one node after the other until it is accepted, or the window ends.
func (s *submitter) submit(ctx context.Context, job *Job) bool {
	var items []itemDocument
	for _, item := range job.Items {
		items = append(items, itemDocument{ID: item.ID, Path: item.Target, Body: base64.StdEncoding.EncodeToString([]byte(item.Body)), Tokens: itemTokens,
			Headers: map[string]string{"X-Rowanshunt-Model": "m", forward.HeaderTokens: "200,100"}})
	}
	body, err := json.Marshal(map[string]any{"reqs": items})
	if err != nil {
		return false
	}
	header := http.Header{"Host": {host}, forward.HeaderRequestID: {job.ID}, "Content-Type": {"application/json"}}
	sent := clock.Now()
	s.record.add(func(*Observations) { job.Sent = sent })
	for try := uint64(0); clock.Since(sent) < submitWindow && ctx.Err() == nil; try++ {
		node := s.nodes(draw(job.ID) + try)
		// Not cancelled with ctx: an acceptance that nobody waits for any more binds too.
		status, _ := call(context.Background(), http.MethodPost, "http://"+node.httpAddr()+batchPrefix+job.ID, header, body)
		answered := clock.Now()
		switch status {
		case http.StatusAccepted:
			s.record.add(func(*Observations) { job.Accepted = answered })
			return true
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		default:
			s.record.add(func(*Observations) { job.Unclear = true })
		}
		clock.Sleep(ctx, retryPause*time.Duration(1+min(try, 5)))
	}
	return false
}

// jobDocument is the answer to a read.
type jobDocument struct {
	Total   int `json:"sum"`
	Next    int `json:"cont"`
	Results []struct {
		ID    string `json:"id"`
		Phase string `json:"phase"`
		Text  string `json:"msg"`
	} `json:"out"`
}

// read reads results from a position on, at some node.
func (s *submitter) read(ctx context.Context, job *Job, start int, final bool) JobRead {
	node := s.nodes(s.rng.Uint64())
	read := JobRead{Node: node.name, Sent: clock.Now(), Start: start}
	header := http.Header{"Host": {host}, "X-Rowanshunt-Wait-Ms": {"500"}}
	status, body := call(ctx, http.MethodGet, "http://"+node.httpAddr()+"/-/lots/"+job.ID+"?start_at="+strconv.Itoa(start), header, nil)
	read.At, read.Status = clock.Now(), status
	var document jobDocument
	if status == http.StatusOK && json.Unmarshal(body, &document) == nil {
		read.Total = document.Total
		for _, result := range document.Results {
			read.Results = append(read.Results, Result{result.ID, result.Phase, result.Text})
		}
	}
	if !final && ctx.Err() == nil {
		s.record.add(func(*Observations) { job.Reads = append(job.Reads, read) })
	}
	return read
}

// cancel ends the job, at one node after the other.
func (s *submitter) cancel(ctx context.Context, job *Job) {
	sent := clock.Now()
	s.record.add(func(*Observations) { job.CancelSent = sent })
	for try := uint64(0); clock.Since(sent) < submitWindow && ctx.Err() == nil; try++ {
		node := s.nodes(draw(job.ID, "cancel") + try)
		status, _ := call(ctx, http.MethodDelete, "http://"+node.httpAddr()+"/-/lots/"+job.ID, http.Header{"Host": {host}}, nil)
		answered := clock.Now()
		if status == http.StatusOK {
			s.record.add(func(*Observations) { job.CancelAcked = answered })
			return
		}
		clock.Sleep(ctx, retryPause)
	}
}

// readAll reads the job from its start, again after failures, until it is complete or the
// context ends.
func (s *submitter) readAll(ctx context.Context, job *Job) {
	var whole *JobRead
	for ctx.Err() == nil {
		start := 0
		if whole != nil {
			start = len(whole.Results)
		}
		read := s.read(ctx, job, start, true)
		switch {
		case read.Status == http.StatusOK && whole == nil:
			whole = &read
		case read.Status == http.StatusOK:
			whole.Results = append(whole.Results, read.Results...)
			whole.At = read.At
		}
		if whole != nil && (len(whole.Results) >= whole.Total || job.CancelSent != 0) {
			break
		}
		clock.Sleep(ctx, readPause)
	}
	s.record.add(func(*Observations) { job.Final = whole })
}
