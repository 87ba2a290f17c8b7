// Package events emits CloudEvents for changes, where a setting names a sink (design 15). A
// slow or dead sink delays nothing: events wait in a bounded queue and are dropped when it is
// full.
package events

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cloudevents/sdk-go/v2/event"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/logging"
)

const (
	// queueSize is the number of events that wait at most: a burst, such as all
	// workers of a zone that go at once, and little memory.
	queueSize = 256
	// postTimeout bounds one request to the sink.
	postTimeout = 2 * time.Second
	// While the sink fails, the wait between requests grows from minBackoff to
	// maxBackoff, so that a dead sink costs next to nothing.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// ContentType is that of an event in structured mode.
	ContentType = "application/cloudevents+json"
	payloadType = "application/json"
)

// Emitter queues a node's events and posts them to the sink, in order and each at most once.
// Any goroutine may emit; Run posts. A nil Emitter emits nothing.
type Emitter struct {
	sink    string
	source  string
	process string // leads the ids of its events
	log     *logging.Log
	client  *http.Client
	queue   chan event.Event
	seq     atomic.Int64 // of the last event
	dropped atomic.Int64
}

// New makes an emitter, nil without a sink. process is the random name of the process: no two
// processes ever give two events the same id. A nil transport is that of net/http.
func New(sink, node, process string, log *logging.Log, transport http.RoundTripper) *Emitter {
	if sink == "" {
		return nil
	}
	return &Emitter{
		sink:    sink,
		source:  "/rowanshunt/nodes/" + node,
		process: process,
		log:     log,
		client:  &http.Client{Timeout: postTimeout, Transport: transport},
		queue:   make(chan event.Event, queueSize),
	}
}

// Emit queues an event and returns at once. kind is one of the event types, data one of the
// payloads of this package.
func (e *Emitter) Emit(kind, subject string, data any) {
	if e == nil {
		return
	}
	ev := event.New()
	ev.SetID(e.process + "-" + strconv.FormatInt(e.seq.Add(1), 10))
	ev.SetSource(e.source)
	ev.SetType(kind)
	ev.SetSubject(subject)
	ev.SetTime(time.Now())
	if err := ev.SetData(payloadType, data); err != nil {
		e.dropped.Add(1)
		return
	}
	select {
	case e.queue <- ev:
	default:
		e.dropped.Add(1)
	}
}

// Dropped counts the events that the sink did not get.
func (e *Emitter) Dropped() int64 { return e.dropped.Load() }

// Run posts events until ctx ends. An event that the sink does not accept is dropped.
func (e *Emitter) Run(ctx context.Context) {
	backoff := time.Duration(0) // 0 while the sink accepts
	for {
		var ev event.Event
		select {
		case <-ctx.Done():
			return
		case ev = <-e.queue:
		}
		err := e.post(ctx, &ev)
		if err == nil {
			if backoff > 0 {
				e.log.Info("events_sink_recovered", "dropped", e.dropped.Load())
			}
			backoff = 0
			continue
		}
		e.dropped.Add(1)
		if backoff == 0 {
			e.log.Warn("events_sink_fails", "sink", e.sink, "err", err, "remedy", "bring the sink back; events are dropped meanwhile")
		}
		backoff = min(max(2*backoff, minBackoff), maxBackoff)
		clock.Sleep(ctx, backoff)
	}
}

func (e *Emitter) post(ctx context.Context, ev *event.Event) error {
	raw, err := ev.MarshalJSON()
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.sink, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", ContentType)
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("the sink answers %d", resp.StatusCode)
	}
	return nil
}
