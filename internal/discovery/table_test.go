package discovery

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"rowanshunt/internal/clock"
)

// A record replaces one with a lower sequence number, and any that is only restored;
// gone replaces all and is final (design 5.1, 5.5).
func TestMerge(t *testing.T) {
	started := clock.Now()
	gone := Worker{ID: "w", Gone: true}
	for _, tc := range []struct {
		name    string
		known   []Worker
		merged  Worker
		at      clock.Micros // since the start
		changed bool
		up      bool
	}{
		{name: "unknown", merged: upWorker("w", 1), changed: true, up: true},
		{name: "newer, the same state", known: []Worker{upWorker("w", 1)}, merged: upWorker("w", 2), up: true},
		{name: "newer, another state", known: []Worker{upWorker("w", 1)}, merged: drainingWorker("w", 2), changed: true},
		{name: "the same number", known: []Worker{upWorker("w", 1)}, merged: drainingWorker("w", 1), up: true},
		{name: "older", known: []Worker{drainingWorker("w", 2)}, merged: upWorker("w", 1)},
		{name: "gone", known: []Worker{upWorker("w", 1)}, merged: gone, changed: true},
		{name: "gone already", known: []Worker{gone}, merged: gone},
		{name: "up after gone", known: []Worker{gone}, merged: upWorker("w", 9)},
		{name: "the same number after a restored one", known: []Worker{restoredWorker("w", 1)}, merged: drainingWorker("w", 1), changed: true},
		{name: "restored, unknown", merged: restoredWorker("w", 1), changed: true, up: true},
		{name: "restored, known", known: []Worker{upWorker("w", 1)}, merged: restoredWorker("w", 2), up: true},
		{name: "restored, long after the start", merged: restoredWorker("w", 1), at: restoredTTL + 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newTestTable(started)
			merge(t, table, started, tc.known...)
			if changed := table.merge(tc.merged, started.Add(tc.at)); changed != tc.changed {
				t.Errorf("changed: %v, want %v", changed, tc.changed)
			}
			if r := table.records["w"]; (r != nil && r.Up()) != tc.up {
				t.Errorf("up: %v, want %v", !tc.up, tc.up)
			}
		})
	}
}

// A record keeps the latest heartbeat that any update reports, whatever its number.
func TestMergeKeepsTheLatestHeartbeat(t *testing.T) {
	now := clock.Now()
	table := newTestTable(now)
	for _, tc := range []struct {
		seq       uint64
		age, want clock.Micros
	}{{2, clock.Second, clock.Second}, {1, 200 * clock.Millisecond, 200 * clock.Millisecond}, {3, 2 * clock.Second, 200 * clock.Millisecond}} {
		w := upWorker("w", tc.seq)
		w.Age = tc.age
		table.merge(w, now)
		if got := table.records["w"].age(now); got != tc.want {
			t.Errorf("after number %d: %d us ago, want %d", tc.seq, got, tc.want)
		}
	}
}

func TestMaxWorkersBoundsTheTable(t *testing.T) {
	now := clock.Now()
	table := newTestTable(now)
	for len(table.records) < maxWorkers {
		id := string(rune(len(table.records)))
		table.keep(&record{Worker: Worker{ID: id}})
	}
	if table.merge(upWorker("one more", 1), now) || len(table.records) != maxWorkers {
		t.Errorf("%d records, want %d", len(table.records), maxWorkers)
	}
}

func TestExpire(t *testing.T) {
	started := clock.Now()
	for _, tc := range []struct {
		name   string
		worker Worker
		after  clock.Micros // it is kept until then
	}{
		{"a tombstone", Worker{ID: "w", Gone: true}, tombstoneTTL},
		{"a silent worker", upWorker("w", 1), silentTTL},
		{"a restored worker", restoredWorker("w", 1), restoredTTL},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newTestTable(started)
			merge(t, table, started, tc.worker)
			table.expire(started.Add(tc.after))
			if table.records["w"] == nil {
				t.Error("dropped too early")
			}
			table.expire(started.Add(tc.after + 1))
			if table.records["w"] != nil {
				t.Error("kept for too long")
			}
		})
	}
}

// Leases end against the last time the node was up to date, not against the present:
// a node that is cut off ends none (design 5.3).
func TestLeasesEndOnlyWhileInTouch(t *testing.T) {
	started := clock.Now()
	table := newTestTable(started)
	table.lastSync = started
	merge(t, table, started, upWorker("w", 1))
	ended := started.Add(table.lease)
	table.publish(ended)
	if table.directory.Load().ByID["w"] == nil {
		t.Error("a lease ended although the node was cut off")
	}
	table.lastSync = ended - 1
	table.publish(ended)
	if table.directory.Load().ByID["w"] == nil {
		t.Error("a lease ended too early")
	}
	table.lastSync = ended
	table.publish(ended)
	if table.directory.Load().ByID["w"] != nil || len(table.registered()) != 0 {
		t.Error("a lease did not end")
	}
}

// The directory lists the workers of each service by ID, and a published one does not
// change.
func TestPublish(t *testing.T) {
	now := clock.Now()
	table := newTestTable(now)
	journaled := 0
	table.onDeparture = func(clock.Instant) { journaled++ }
	table.mergeAll([]Worker{upWorker("c", 1), upWorker("a", 1), upWorker("b", 1), drainingWorker("d", 1)}, now)
	published := table.directory.Load()
	ids := func() (ids []string) {
		for _, w := range published.ByService["s"] {
			ids = append(ids, w.ID)
		}
		return ids
	}
	if want := []string{"a", "b", "c"}; !slices.Equal(ids(), want) || len(published.ByID) != len(want) {
		t.Errorf("listed: %v, want %v", ids(), want)
	}
	table.mergeAll([]Worker{drainingWorker("b", 2)}, now)
	if len(ids()) != 3 || len(table.directory.Load().ByService["s"]) != 2 {
		t.Error("a published directory changed, or a new one was not published")
	}
	latest := table.directory.Load()
	table.mergeAll([]Worker{upWorker("a", 2)}, now)
	if table.directory.Load() != latest {
		t.Error("a heartbeat without a change published a directory")
	}
	table.mergeAll([]Worker{upWorker("e", 1)}, now)
	if table.directory.Load() == latest {
		t.Error("a new worker was not published")
	}
	if journaled != 2 {
		t.Errorf("%d calls for the journal, want one for each update with a departure", journaled)
	}
}

// A digest depends on the state of a service's workers and not on their order, their
// heartbeats or other services.
func TestDigest(t *testing.T) {
	now := clock.Now()
	digest := func(workers ...Worker) uint64 {
		table := newTestTable(now)
		merge(t, table, now, workers...)
		return table.digest("s")
	}
	other := upWorker("c", 1)
	other.Svc = "other"
	want := digest(upWorker("a", 1), upWorker("b", 1))
	for name, workers := range map[string][]Worker{
		"another order":   {upWorker("b", 1), upWorker("a", 1)},
		"more heartbeats": {upWorker("a", 7), upWorker("b", 9)},
		"other services":  {upWorker("a", 1), upWorker("b", 1), other},
	} {
		if digest(workers...) != want {
			t.Errorf("%s: the digest differs", name)
		}
	}
	for name, workers := range map[string][]Worker{
		"another state":  {upWorker("a", 1), drainingWorker("b", 1)},
		"fewer workers":  {upWorker("a", 1)},
		"another worker": {upWorker("a", 1), upWorker("d", 1)},
	} {
		if digest(workers...) == want {
			t.Errorf("%s: the digest is the same", name)
		}
	}
}

// A page of the log reports a worker with its newest departure only, and not at all
// while it is up.
func TestDeparturesSinceReportsTheNewest(t *testing.T) {
	now := clock.Now()
	table := newTestTable(now)
	merge(t, table, now, drainingWorker("a", 1), drainingWorker("b", 1), drainingWorker("c", 1), upWorker("b", 2), Worker{ID: "a", Gone: true})
	page := table.departuresSince(departureCursor{}, now)
	var ids []string
	for _, w := range page.Workers {
		ids = append(ids, w.ID)
	}
	if want := []string{"c", "a"}; !slices.Equal(ids, want) || page.More || page.Next.Seq != table.departures.lastSeq {
		t.Errorf("page %+v lists %v, want %v", page, ids, want)
	}
}

// The journal gets the workers in use and those that departed, without those that only an
// earlier journal knows: else a worker that sends no heartbeat would outlive any number
// of restarts.
func TestPersistent(t *testing.T) {
	now := clock.Now()
	table := newTestTable(now)
	table.lastSync = now
	merge(t, table, now, upWorker("up", 1), drainingWorker("draining", 1), restoredWorker("restored", 1), Worker{ID: "gone", Gone: true})
	workers := table.persistent(now.Add(clock.Second))
	var ids []string
	for _, w := range workers {
		ids = append(ids, w.ID)
		if w.Age != clock.Second {
			t.Errorf("%s has the age %d us, want a second", w.ID, w.Age)
		}
	}
	slices.Sort(ids)
	if want := []string{"draining", "gone", "up"}; !slices.Equal(ids, want) {
		t.Errorf("got %v, want %v", ids, want)
	}
}

// A commitment counts for the departure it was given for: draining is not gone.
func TestCommitDeparture(t *testing.T) {
	now := clock.Now()
	for _, tc := range []struct {
		name      string
		known     []Worker
		committed Worker
		want      bool
	}{
		{"the same", []Worker{drainingWorker("w", 1)}, drainingWorker("w", 1), true},
		{"gone meanwhile", []Worker{drainingWorker("w", 1), {ID: "w", Gone: true}}, drainingWorker("w", 1), false},
		{"up meanwhile", []Worker{drainingWorker("w", 1), upWorker("w", 2)}, drainingWorker("w", 1), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newTestTable(now)
			merge(t, table, now, tc.known...)
			table.commitDeparture(&tc.committed)
			if got := table.records["w"].departureCommitted; got != tc.want {
				t.Errorf("committed: %v, want %v", got, tc.want)
			}
		})
	}
}

// The digests that the table keeps are those of its records, whatever happened to them.
func TestDigestsFollowTheRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := clock.Now()
		table := newTestTable(now)
		for range rapid.IntRange(1, 60).Draw(rt, "updates") {
			w := upWorker(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "id"), rapid.Uint64Range(1, 9).Draw(rt, "seq"))
			w.Svc = rapid.SampledFrom([]string{"s", "t"}).Draw(rt, "service")
			w.Phase = rapid.SampledFrom([]string{phaseUp, phaseDraining}).Draw(rt, "phase")
			w.Gone = rapid.IntRange(0, 5).Draw(rt, "gone") == 0
			table.mergeAll([]Worker{w}, now)
			now = now.Add(clock.Micros(rapid.IntRange(0, 20).Draw(rt, "seconds")) * clock.Second)
			table.publishPeriodically(now)
			sums := map[string]uint64{}
			for _, r := range table.records {
				sums[r.Svc] += r.fingerprint()
			}
			for _, svc := range []string{"s", "t"} {
				if got := table.digest(svc); got != sums[svc] {
					rt.Fatalf("the digest of %s is %d, that of its records %d", svc, got, sums[svc])
				}
			}
		}
	})
}

// While thousands of workers register, the directory is built a few times a period; a
// departure is published at once all the same.
func TestPublishingFollowsPeriodsNotWorkers(t *testing.T) {
	now := clock.Now()
	table := newTestTable(now)
	built, last := 0, table.directory.Load()
	observe := func() {
		if d := table.directory.Load(); d != last {
			built, last = built+1, d
		}
	}
	for i := range 3000 {
		table.mergeAll([]Worker{upWorker(fmt.Sprint(i), 1)}, now)
		observe()
	}
	if built != maxUpdatesPublished {
		t.Errorf("built %d times in one period, want %d", built, maxUpdatesPublished)
	}
	table.mergeAll([]Worker{drainingWorker("0", 2)}, now)
	if d := table.directory.Load(); d.ByID["0"] != nil || len(d.ByID) != 2999 {
		t.Errorf("after a departure %d workers are listed, want 2999", len(d.ByID))
	}
	table.mergeAll([]Worker{upWorker("late", 1)}, now)
	table.publishPeriodically(now)
	if table.directory.Load().ByID["late"] == nil {
		t.Error("a worker is not listed after the period")
	}
}

// BenchmarkManyWorkers measures what a node does for 5,000 workers: a round of the
// timer, and the answer to a subscriber that lacks nothing.
func BenchmarkManyWorkers(b *testing.B) {
	now := clock.Now()
	a := newTestAggregator(now, nil)
	for i := range 5000 {
		a.table.merge(upWorker(fmt.Sprint("worker-", i), 1), now)
	}
	in := &subscribeRequest{From: "n", Addr: "n", Services: []string{"s"}, Digests: []uint64{a.table.digest("s")}}
	b.Run("publish without a change", func(b *testing.B) {
		for b.Loop() {
			a.table.publish(now)
		}
	})
	b.Run("publish a change", func(b *testing.B) {
		seq := uint64(1)
		for b.Loop() {
			seq++
			w := upWorker("worker-0", seq)
			w.Ver = fmt.Sprint(seq)
			a.table.merge(w, now)
			a.table.publish(now)
		}
	})
	b.Run("subscribe", func(b *testing.B) {
		for b.Loop() {
			in.Digests[0] = a.table.digest("s")
			a.subscribe(in, now)
		}
	})
}
