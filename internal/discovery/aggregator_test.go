package discovery

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
)

func newTestAggregator(now clock.Instant, core *consensus.Membership) *aggregator {
	return &aggregator{
		table:       newTestTable(now),
		contact:     newCoreContact("x", func() *consensus.Membership { return core }),
		subscribers: subscriberTable{},
		usualAge:    usualAge(testHeartbeatInterval),
	}
}

// A subscriber gets the records of services whose digest differs; of the others the
// ages that are unusual or unknown (design 5.2).
func TestSubscribeBringsWhatDiffers(t *testing.T) {
	now := clock.Now()
	a := newTestAggregator(now, nil)
	late, onTime := upWorker("late", 1), upWorker("on time", 1)
	late.Age, onTime.Age = a.usualAge+1, a.usualAge
	merge(t, a.table, now, late, onTime, restoredWorker("restored", 1), Worker{ID: "gone", Svc: "s", Gone: true})
	in := &subscribeRequest{From: "n", Addr: "10.0.0.1:1", Services: []string{"s"}, Digests: []uint64{a.table.digest("s")}}

	same := a.subscribe(in, now)
	slices.SortFunc(same.Ages, func(a, b workerAge) int { return int(b.Age - a.Age) })
	want := &subscribeResponse{Unchanged: []string{"s"}, MaxAge: a.usualAge,
		Ages: []workerAge{{ID: "late", Age: late.Age}, {ID: "restored", Age: unknownAge}}}
	if !reflect.DeepEqual(same, want) {
		t.Errorf("the same digest: %+v, want %+v", same, want)
	}

	in.Digests[0]++
	differs := a.subscribe(in, now)
	if len(differs.Workers) != 4 || len(differs.Unchanged) != 0 || len(differs.Ages) != 0 {
		t.Errorf("another digest: %+v, want four workers", differs)
	}
	if got := a.subscribers.addrs(); !slices.Equal(got, []string{in.Addr}) {
		t.Errorf("subscribers: %v", got)
	}
}

// An aggregator that does not reach the core says so among the unchanged services.
func TestSubscribeMarksAnUnreachableCore(t *testing.T) {
	now := clock.Now()
	core := &consensus.Membership{Current: []consensus.Member{{ID: "a", Name: "a"}}}
	a := newTestAggregator(now, core)
	if got := a.subscribe(&subscribeRequest{From: "n", Addr: "n"}, now).Unchanged; !slices.Equal(got, []string{""}) {
		t.Errorf("cut off: %q, want the empty name", got)
	}
	a.contact.recordRead("a", false, now)
	if got := a.subscribe(&subscribeRequest{From: "n", Addr: "n"}, now).Unchanged; len(got) != 0 {
		t.Errorf("in contact: %q, want none", got)
	}
}

func TestSubscribeRejects(t *testing.T) {
	a := newTestAggregator(clock.Now(), nil)
	for name, in := range map[string]*subscribeRequest{
		"fewer digests than services": {Services: []string{"s"}},
		"too many services":           {Services: make([]string, maxSubscribedServices+1), Digests: make([]uint64, maxSubscribedServices+1)},
	} {
		if _, err := a.handleSubscribe(t.Context(), in); !fault.Is(err, fault.Invalid) {
			t.Errorf("%s: got %v, want a fault of kind invalid", name, err)
		}
	}
}

// A subscriber whose digest differs gets all records once and then what changed since the
// answer before; all again if that does not help, if it lost all, or after the interval.
func TestSubscribeSendsChangesAfterASnapshot(t *testing.T) {
	interval := maxDifference + 3*differencePerRecord
	for _, tc := range []struct {
		name    string
		at      clock.Micros // of the last request
		digest  uint64
		records int
	}{
		{"another digest: what changed", renewPeriod, 2, 1},
		{"the same digest as with the changes before, soon", renewPeriod, 1, 1},
		{"the same digest as with the changes before", 3 * renewPeriod, 1, 3},
		{"no records any more", renewPeriod, 0, 3},
		{"after the interval", interval, 2, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := clock.Now()
			a := newTestAggregator(start, nil)
			merge(t, a.table, start, upWorker("a", 1), upWorker("b", 1))
			at := start.Add(2 * changesOverlap)
			request := func(digest uint64, after clock.Micros) int {
				in := &subscribeRequest{From: "n", Addr: "n", Services: []string{"s"}, Digests: []uint64{digest}}
				return len(a.subscribe(in, at.Add(after)).Workers)
			}
			if got := request(1, 0); got != 2 {
				t.Fatalf("at first %d records, want 2", got)
			}
			merge(t, a.table, at.Add(renewPeriod/2), upWorker("c", 1))
			if got := request(1, renewPeriod/2); got != 1 {
				t.Fatalf("of the changes %d records, want 1", got)
			}
			if got := request(tc.digest, tc.at); got != tc.records {
				t.Errorf("%d records, want %d", got, tc.records)
			}
		})
	}
}

// An update that crosses a renewal costs one record, however long ago all were sent.
func TestSubscribeAfterCalm(t *testing.T) {
	start := clock.Now()
	a := newTestAggregator(start, nil)
	merge(t, a.table, start, upWorker("a", 1), upWorker("b", 1))
	at := start
	for i := range 40 {
		in := &subscribeRequest{From: "n", Addr: "n", Services: []string{"s"}, Digests: []uint64{a.table.digest("s")}}
		if i > 0 && i%8 == 0 {
			merge(t, a.table, at, upWorker(fmt.Sprint("new-", i), 1))
			if got := len(a.subscribe(in, at).Workers); got != 1 {
				t.Fatalf("renewal %d: %d records, want 1", i, got)
			}
		} else {
			a.subscribe(in, at)
		}
		at = at.Add(renewPeriod)
	}
}

// A node that asks without an address gets what only the journal knows, and is no
// subscriber.
func TestJournalReadersGetRestoredRecords(t *testing.T) {
	now := clock.Now()
	a := newTestAggregator(now, nil)
	merge(t, a.table, now, upWorker("up", 1), restoredWorker("restored", 1))
	got := a.subscribe(&subscribeRequest{From: "n", Services: []string{"s"}, Digests: []uint64{0}}, now)
	if len(got.Workers) != 1 || got.Workers[0].ID != "restored" || len(a.subscribers) != 0 {
		t.Errorf("got %+v with %d subscribers", got, len(a.subscribers))
	}
}
