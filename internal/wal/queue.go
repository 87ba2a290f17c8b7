package wal

import (
	"sync"
	"time"

	"rowanshunt/internal/clock"
)

// request is one Append or Rewrite. done is called once, on the writer's
// goroutine, or by the caller's where the log is closed already.
type request struct {
	records [][]byte // of an append
	source  Source   // of a rewrite
	done    func(error)
}

func (r *request) bytes() (n int64) {
	for _, record := range r.records {
		n += int64(len(record))
	}
	return n
}

// lastRewrite is the index of the last rewrite among the requests, -1 if there is
// none.
func lastRewrite(requests []request) int {
	for i := len(requests) - 1; i >= 0; i-- {
		if requests[i].source != nil {
			return i
		}
	}
	return -1
}

// eachRecordOf hands all records of the requests' appends to write, in order.
func eachRecordOf(requests []request, write func([]byte) error) error {
	for _, r := range requests {
		for _, record := range r.records {
			if err := write(record); err != nil {
				return err
			}
		}
	}
	return nil
}

// queue holds the requests that the writer has not taken yet. Any goroutine may
// push; the writer alone takes. What was pushed before close is still handed out.
type queue struct {
	mu           sync.Mutex
	requests     []request
	pendingBytes int64 // pushed, and neither on disk nor refused: also of requests that the writer took
	closed       bool

	wake    chan struct{} // holds a token while there may be something to take
	closing chan struct{} // closed with the queue
}

func newQueue() *queue {
	return &queue{wake: make(chan struct{}, 1), closing: make(chan struct{})}
}

// push reports false if the queue is closed.
func (q *queue) push(r request) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return false
	}
	q.requests = append(q.requests, r)
	q.pendingBytes += r.bytes()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// drain hands the writer all requests.
func (q *queue) drain() (requests []request, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	requests, q.requests = q.requests, nil
	return requests, q.closed
}

// finish counts requests as no longer pending.
func (q *queue) finish(requests []request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range requests {
		q.pendingBytes -= requests[i].bytes()
	}
}

func (q *queue) pending() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pendingBytes
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.closed = true
		close(q.closing)
	}
}

// wait returns when there may be something to take or the queue is closed.
func (q *queue) wait() {
	select {
	case <-q.wake:
	case <-q.closing:
	}
}

// waitAtMost is wait with a limit; it reports whether the limit ended it.
func (q *queue) waitAtMost(limit clock.Micros) bool {
	timer := time.NewTimer(limit.Duration())
	defer timer.Stop()
	select {
	case <-q.wake:
	case <-q.closing:
	case <-timer.C:
		return true
	}
	return false
}

// backOff waits before another attempt at the disk; false: the queue is closed.
func (q *queue) backOff(wait clock.Micros) bool {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-q.closing:
		return false
	case <-timer.C:
		return true
	}
}
