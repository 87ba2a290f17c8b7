package discovery

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/settings"
)

// An aggregator reports the ages of late workers only; the others are known to be
// younger, and no worker is ever taken to be younger than it is (design 5.2).
func TestResponseConfirmsLeases(t *testing.T) {
	now := clock.Now()
	maxAge := usualAge(testHeartbeatInterval)
	const before = 3 * clock.Second
	for _, tc := range []struct {
		name         string
		change       func(r *record) // nil: a worker of service s
		before, want clock.Micros
		wantRestored bool
	}{
		{name: "young", before: before, want: maxAge},
		{name: "late", before: before, want: 2_500 * clock.Millisecond},
		{name: "restored", change: func(r *record) { r.Restored = true }, before: before, want: before, wantRestored: true},
		{name: "gone", change: func(r *record) { r.Gone = true }, before: before, want: before},
		{name: "ahead", before: 100 * clock.Millisecond, want: 100 * clock.Millisecond},
		{name: "of another service", change: func(r *record) { r.Svc = "other" }, before: before, want: before},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newTestTable(now)
			r := &record{Worker: Worker{ID: tc.name, Svc: "s", Phase: phaseUp}, lastHeartbeat: now.Add(-tc.before)}
			if tc.change != nil {
				tc.change(r)
			}
			table.keep(r)
			s := &subscription{localNode: localNode{table: table}}
			s.apply(&subscribeResponse{Unchanged: []string{"s"}, MaxAge: maxAge,
				Ages: []workerAge{{ID: "late", Age: 2_500 * clock.Millisecond}, {ID: "restored", Age: unknownAge}}}, now)
			if got := r.age(now); got != tc.want {
				t.Errorf("age of the last heartbeat: %d us, want %d", got, tc.want)
			}
			if r.Restored != tc.wantRestored {
				t.Errorf("restored: %v, want %v", r.Restored, tc.wantRestored)
			}
			if r.Up() != (tc.name != "gone") {
				t.Errorf("up: %v", r.Up())
			}
			if !s.synced.Load() || table.lastSync != now {
				t.Error("the response did not bring the node up to date")
			}
		})
	}
}

// A worker whose heartbeats are on time cannot lose its lease on the way to this node.
func TestLeaseOutlastsTheUsualAge(t *testing.T) {
	if lease := newTestTable(clock.Now()).lease; lease <= usualAge(testHeartbeatInterval)+renewPeriod+testHeartbeatInterval {
		t.Errorf("a lease of %d us can end between two renewals", lease)
	}
}

// newTestSubscription is for node self in zone ash, which has the services a and b.
func newTestSubscription(now clock.Instant, nodes ...gossip.Peer) (*subscription, *gossip.View) {
	self := gossip.Peer{Name: "self", Az: "ash", Role: settings.RoleEdge}
	view := &gossip.View{Self: self}
	for _, n := range append(nodes, self) {
		n.Role = settings.RoleEdge
		view.Nodes = append(view.Nodes, gossip.NodeState{Peer: n, Alive: true})
	}
	node := localNode{self: self, table: newTestTable(now), placement: &placement{self: self}}
	return &subscription{localNode: node, sources: newSources(self), services: func() []string { return []string{"a", "b"} }}, view
}

// A node subscribes each service at one source. Without any it is up to date with what
// it knows, and synced once others would have appeared.
func TestPlan(t *testing.T) {
	now := clock.Now()
	t.Run("alone", func(t *testing.T) {
		s, view := newTestSubscription(now)
		for _, tc := range []struct {
			after      clock.Micros
			wantSynced bool
		}{{aloneAfter, false}, {aloneAfter + 1, true}} {
			at := now.Add(tc.after)
			if bySource, aggregates := s.plan(view, at); len(bySource) != 0 || !aggregates {
				t.Errorf("sources: %v, aggregates: %v", bySource, aggregates)
			}
			if s.synced.Load() != tc.wantSynced || s.table.lastSync != at {
				t.Errorf("after %d us: synced %v, last up to date %d us ago", tc.after, s.synced.Load(), at.Sub(s.table.lastSync))
			}
		}
	})
	t.Run("the only node of its zone", func(t *testing.T) {
		s, view := newTestSubscription(now, gossip.Peer{Name: "c", Az: "cedar"})
		bySource, aggregates := s.plan(view, now)
		if !aggregates || len(bySource) != 1 || !slices.Equal(bySource["c"], []string{"a", "b"}) {
			t.Errorf("sources: %v, aggregates: %v", bySource, aggregates)
		}
		if s.synced.Load() || s.table.lastSync != 0 {
			t.Error("up to date before the source answered")
		}
	})
}

// A node without a disk asks those with one in turn while it has just started.
func TestJournalSource(t *testing.T) {
	now := clock.Now()
	s, view := newTestSubscription(now, gossip.Peer{Name: "c", Disk: "1"}, gossip.Peer{Name: "d", Disk: "2"}, gossip.Peer{Name: "e"})
	s.seeksJournals = true
	added := func(after clock.Micros) []string {
		t.Helper()
		bySource := map[string][]string{}
		s.addJournalSource(bySource, view, now.Add(after))
		return slices.Collect(maps.Keys(bySource))
	}
	for i, want := range []string{"c", "d", "c"} {
		at := clock.Micros(i) * journalReadPeriod
		if got := added(at); !slices.Equal(got, []string{want}) {
			t.Errorf("turn %d: %v, want %s", i, got, want)
		}
		if got := added(at + journalReadPeriod - 1); len(got) != 0 {
			t.Errorf("turn %d: %v before the period is over", i, got)
		}
	}
	if got := added(restoredTTL); len(got) != 0 {
		t.Errorf("an established node asks %v", got)
	}
	s.seeksJournals = false
	if got := added(0); len(got) != 0 {
		t.Errorf("a node with a disk asks %v", got)
	}
}

// A source that is down, or that answers and does not reach the core, is avoided, and a
// core member's log is read at once (design 5.2, 5.4).
func TestSourceFailed(t *testing.T) {
	for name, tc := range map[string]struct {
		failing   map[string]bool
		unchanged []string
		want      bool
	}{
		"answers": {unchanged: []string{"s"}},
		"cut off": {unchanged: []string{coreUnreachableMark, "s"}, want: true},
		"down":    {failing: map[string]bool{"source": true}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				departures := newTestExchange(t, &fakeTransport{failing: tc.failing, reply: func(_ string, _, out any) {
					if response, ok := out.(*subscribeResponse); ok {
						response.Unchanged = tc.unchanged
					}
				}})
				s := &subscription{localNode: departures.localNode, sources: departures.sources, departures: departures}
				s.subscribeAt(t.Context(), "source", "source", &subscribeRequest{})
				synctest.Wait()
				onLoop(t, s.loop, func() {
					if got := s.sources.isSilent("source", clock.Now()); got != tc.want {
						t.Errorf("avoided: %v, want %v", got, tc.want)
					}
					if got := len(departures.contact.memberRead) > 0; got != tc.want {
						t.Errorf("a member's log was read: %v, want %v", got, tc.want)
					}
				})
				if s.synced.Load() == tc.failing["source"] {
					t.Errorf("synced: %v", s.synced.Load())
				}
			})
		})
	}
}
