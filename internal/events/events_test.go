package events

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudevents/sdk-go/v2/event"

	"rowanshunt/internal/logging"
)

// sink is a transport that stands in for the operator's sink.
type sink func(r *http.Request) (*http.Response, error)

func (s sink) RoundTrip(r *http.Request) (*http.Response, error) { return s(r) }

func ok() *http.Response {
	return &http.Response{StatusCode: http.StatusAccepted, Body: io.NopCloser(strings.NewReader(""))}
}

// Events arrive as the specification writes them, in order, each id once.
func TestEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got []event.Event
		b := New("http://10.0.0.9/sink", "edge-1", "edge-1/77", logging.Quiet(), sink(func(r *http.Request) (*http.Response, error) {
			raw, _ := io.ReadAll(r.Body)
			e := event.New()
			if err := e.UnmarshalJSON(raw); err != nil || e.Validate() != nil || r.Header.Get("Content-Type") != ContentType {
				t.Errorf("%s: %v %v", raw, err, e.Validate())
			}
			got = append(got, e)
			return ok(), nil
		}))
		ctx, cancel := context.WithCancel(context.Background())
		go b.Run(ctx)
		b.Emit(ConfigurationTaken, "7", map[string]any{"ver": 7})
		b.Emit(WorkerChanged, "i-1", map[string]any{"phase": "draining"})
		synctest.Wait()
		cancel()
		if len(got) != 2 || got[0].Type() != ConfigurationTaken || got[0].Subject() != "7" || got[1].Type() != WorkerChanged || got[0].ID() == got[1].ID() ||
			got[0].Source() != "/rowanshunt/nodes/edge-1" || string(got[0].Data()) != `{"ver":7}` {
			t.Errorf("%v", got)
		}
	})
}

// A sink that hangs or fails delays nobody; what it does not get is counted,
// and it gets events again once it is back.
func TestDeadSink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		var got atomic.Int64
		down.Store(true)
		b := New("http://10.0.0.9/sink", "edge-1", "edge-1/1", logging.Quiet(), sink(func(r *http.Request) (*http.Response, error) {
			if down.Load() {
				<-r.Context().Done()
				return nil, errors.New("gone")
			}
			got.Add(1)
			return ok(), nil
		}))
		ctx, cancel := context.WithCancel(context.Background())
		go b.Run(ctx)
		began := time.Now()
		for range 4 * maxHeld {
			b.Emit(WorkerChanged, "i-1", nil)
		}
		if time.Since(began) != 0 {
			t.Errorf("emitting took %v", time.Since(began))
		}
		if b.Dropped() < 2*maxHeld {
			t.Errorf("%d dropped", b.Dropped())
		}
		time.Sleep(30 * time.Second)
		down.Store(false)
		time.Sleep(30 * time.Second)
		if got.Load() == 0 {
			t.Error("the sink is back and gets nothing")
		}
		cancel()
		synctest.Wait()
	})
	var none *Emitter
	none.Emit(WorkerChanged, "x", nil) // off: nothing happens
	if New("", "n", "edge-1/1", logging.Quiet(), nil) != nil {
		t.Error("an emitter without a sink")
	}
}
