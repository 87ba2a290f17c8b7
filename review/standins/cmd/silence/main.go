// Command silence: an edge node is stopped in order while a worker puts a stream back
// until an older request has ended, and the other worker is full.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/rig"
)

const (
	host   = "shop.example"
	limit  = 5 * time.Second
	events = 14
	gap    = 100 * time.Millisecond
	// older is how long the older request runs: the stream is put back until it ends, some
	// 1.6 s, below the 2 s for which clients bear a silence.
	older = 2500 * time.Millisecond
)

func main() {
	path := flag.String("record", "record.txt", "the record's file")
	flag.Parse()
	os.Exit(rig.Execute(*path, body))
}

// deploy starts the system and sets its configuration.
func deploy(c *rig.Cluster) error {
	if err := c.StartAll(); err != nil {
		return err
	}
	conf := &rig.Configuration{
		Version:  1,
		Routes:   []rig.Route{{Name: "enquiry", Host: host, Prefix: "/enquiry/", Type: "stream", LimitMs: 5000, GoalMs: 200, Service: "pisar", Tries: 2, Pin: true, Resume: true, GapGoalMs: 250}},
		Services: []rig.Service{{Name: "pisar", Health: "/healthz", MaxConn: 320, Proto: "h1"}},
		Caps:     rig.Caps(),
	}
	if err := c.PutConfiguration(conf, 0, 20*time.Second); err != nil {
		return err
	}
	return c.AwaitReady(20 * time.Second)
}

func body(c *rig.Cluster, record *rig.Record, trouble bool) (bool, error) {
	if err := deploy(c); err != nil {
		return false, err
	}
	other := c.NewWorker("i-other", "pisar", "east", 2, 1)
	other.Events = func(string) int { return 45 }
	other.Gap = func(string) time.Duration { return gap }
	if err := other.Start(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // all machines are in touch

	// Three streams fill the one worker that is there: two run, one waits.
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			c.Stream(c.Edges[1+i%2], host, "/enquiry/1", fmt.Sprintf("filler-%d", i), limit)
		})
		time.Sleep(20 * time.Millisecond)
	}
	slow, setOlderEnd := newSlowWorker(c, record, trouble)
	if err := slow.Start(); err != nil {
		return false, err
	}
	time.Sleep(600 * time.Millisecond)
	if other.Running() != 2 {
		return false, fmt.Errorf("%d fillers run", other.Running())
	}
	setOlderEnd(record.Now() + older)
	wg.Go(func() { c.Stream(c.Edges[2], host, "/enquiry/1", "older", limit) })
	time.Sleep(400 * time.Millisecond)
	answer := make(chan *rig.Answer, 1)
	go func() { answer <- c.Stream(c.Edges[0], host, "/enquiry/1", "stream", limit) }()
	time.Sleep(250 * time.Millisecond)
	term := record.Now()
	c.Signal(c.Edges[0], syscall.SIGTERM)
	a := <-answer
	wg.Wait()
	<-c.Edges[0].Exited()
	return judge(record, a, slow, term)
}

// newSlowWorker makes a second worker. It takes a large request and then the stream. When
// its memory runs out it puts the newer one back until the older has ended, at the time
// that setOlderEnd is given before it begins.
func newSlowWorker(c *rig.Cluster, record *rig.Record, trouble bool) (slow *rig.Worker, setOlderEnd func(time.Duration)) {
	var olderEnds atomic.Int64
	slow = c.NewWorker("i-slow", "pisar", "north", 2, 1)
	slow.Events = func(id string) int {
		if id == "older" {
			return int(older / gap)
		}
		return events
	}
	slow.Gap = func(string) time.Duration { return gap }
	slow.Pause = func(id string, n int) time.Duration {
		if trouble && id == "stream" && n == 5 {
			return time.Duration(olderEnds.Load()) - record.Now()
		}
		return 0
	}
	return slow, func(at time.Duration) { olderEnds.Store(int64(at)) }
}

// judge goes by LOST, around planned work: the request was read and passed on to a
// worker, its machine got a SIGTERM before it ended, the worker did not break off, and
// neither the deadline nor the second half of grace_s was reached.
func judge(record *rig.Record, a *rig.Answer, slow *rig.Worker, term time.Duration) (bool, error) {
	ran := false
	for _, r := range slow.Runs() {
		ran = ran || r.ID == "stream"
	}
	if !ran {
		return false, fmt.Errorf("the stream did not go to the worker that pauses")
	}
	if a.Ended < term {
		return false, fmt.Errorf("the stream ended before the SIGTERM")
	}
	record.Logf("stream: %d of %d events, complete %v, %.3f s after it was sent, %.3f s after the SIGTERM", len(a.Events), events, a.Complete, (a.Ended - a.Sent).Seconds(), (a.Ended - term).Seconds())
	whole := a.Complete && a.Status == 200 && len(a.Events) == events
	excused := a.Ended-a.Sent >= limit-100*time.Millisecond || a.Ended-term >= 4*time.Second
	return !whole && !excused, nil
}
