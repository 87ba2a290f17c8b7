package discovery

import (
	"context"
	"slices"
	"sync/atomic"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
)

const (
	// renewPeriod is that of subscriptions (design 5.2): an update that was lost is
	// repaired within a second.
	renewPeriod = 500 * clock.Millisecond
	// startupRenewPeriod is the period in the first startupPhase of a node, and until
	// a source has answered, as the node is not ready before.
	startupRenewPeriod = 100 * clock.Millisecond
	startupPhase       = 1 * clock.Second
	// journalReadPeriod is that of asking nodes with a disk for their journals, each a
	// few times within restoredTTL.
	journalReadPeriod = 400 * clock.Millisecond
	// aloneAfter is how long a node that finds no source waits for others to appear in
	// the view before it counts what it knows as complete.
	aloneAfter = 1_500 * clock.Millisecond
)

// subscription keeps this node's table up to date by subscribing to the aggregators of
// its services. Its fields belong to the event loop, synced aside.
type subscription struct {
	localNode
	sources       *sources
	subscribers   subscriberTable
	departures    *departureExchange
	services      func() []string
	loads         loadHooks
	seeksJournals bool // this node has no journal of its own

	lastRenewal clock.Instant
	asking      map[string]bool // sources with a call under way
	lastJournal clock.Instant   // when a journal was last asked for
	journalTurn int             // which of the nodes with a disk is next
	synced      atomic.Bool
}

// run renews the subscriptions if they are due; the event loop calls it each
// startupRenewPeriod.
func (s *subscription) run(ctx context.Context) {
	now := clock.Now()
	if now.Sub(s.table.started) < startupPhase || !s.synced.Load() {
		s.renew(ctx, now)
		return
	}
	if now.Sub(s.lastRenewal) >= renewPeriod {
		s.lastRenewal = now
		s.renew(ctx, now)
	}
}

// renew subscribes at each source and has the core's departure logs read.
func (s *subscription) renew(ctx context.Context, now clock.Instant) {
	s.subscribers.expire(now)
	view := s.view()
	bySource, aggregates := s.plan(view, now)
	journalSource := s.addJournalSource(bySource, view, now)
	for source, services := range bySource {
		addr, request := view.Get(source).Addr, s.request(services)
		if source == journalSource {
			go s.readJournalOf(ctx, addr, request) // ends after subscribeTimeout
			continue
		}
		if s.asking[source] {
			continue // a slow answer must not be asked for again, or it gets slower
		}
		s.asking[source] = true
		// Ends after subscribeTimeout, before the next renewal of an established node.
		go s.subscribeAt(ctx, source, addr, request)
	}
	s.departures.read(ctx, readCause{aggregates: aggregates || len(s.subscribers) > 0})
}

// plan gives the services to ask of each source, and whether this node is the
// aggregator of one.
func (s *subscription) plan(view *gossip.View, now clock.Instant) (bySource map[string][]string, aggregates bool) {
	bySource = map[string][]string{}
	for _, svc := range s.services() {
		aggregators := s.placement.aggregators(svc, view)
		if aggregators[s.self.Az] == s.self.Name {
			aggregates = true
		}
		source := s.sources.choose(aggregators, now)
		if source == "" || source == s.self.Name {
			s.syncAlone(now)
			continue
		}
		bySource[source] = append(bySource[source], svc)
	}
	return bySource, aggregates
}

// syncAlone counts a node without a source as up to date: the heartbeats that it
// receives itself are all there is.
func (s *subscription) syncAlone(now clock.Instant) {
	s.table.lastSync = now
	if now.Sub(s.table.started) > aloneAfter {
		s.synced.Store(true)
	}
}

// addJournalSource adds, while this node has just started and has no journal, one of the
// nodes with a disk in turn: they may have a journal (design 5.5). It returns that node.
func (s *subscription) addJournalSource(bySource map[string][]string, view *gossip.View, now clock.Instant) (source string) {
	if !s.seeksJournals || now.Sub(s.table.started) >= restoredTTL || now.Sub(s.lastJournal) < journalReadPeriod {
		return ""
	}
	withDisk := view.Names(func(n *gossip.NodeState) bool {
		return n.Alive && n.Disk != "" && n.Role == s.self.Role && bySource[n.Name] == nil
	})
	if len(withDisk) == 0 {
		return ""
	}
	s.lastJournal = now
	source = withDisk[s.journalTurn%len(withDisk)]
	bySource[source] = s.services()
	s.journalTurn++
	return source
}

func (s *subscription) request(services []string) *subscribeRequest {
	request := &subscribeRequest{From: s.self.Name, Addr: s.self.Addr, Services: services, Loads: s.loads.local(false)}
	for _, svc := range services {
		request.Digests = append(request.Digests, s.table.digest(svc))
	}
	return request
}

// subscribeAt makes one call, outside of the event loop, and applies its result on it.
func (s *subscription) subscribeAt(ctx context.Context, source, addr string, request *subscribeRequest) {
	asked := clock.Now()
	callCtx, cancel := context.WithTimeout(ctx, subscribeTimeout.Duration())
	defer cancel()
	response, err := s.client.subscribe(callCtx, addr, request)
	if err != nil {
		_ = s.loop.Post(ctx, func() {
			delete(s.asking, source)
			s.sourceFailed(ctx, source)
		})
		return
	}
	s.loads.merge("", response.Loads)
	_ = s.loop.Post(ctx, func() {
		delete(s.asking, source)
		if clock.Since(asked) > subscribeTimeout {
			return // the ages that it brings are no longer right
		}
		s.apply(response, clock.Now())
		if slices.Contains(response.Unchanged, coreUnreachableMark) {
			s.sourceFailed(ctx, source)
		}
	})
}

// readJournalOf asks a node with a disk for the workers that only its journal knows. The
// request has no address: it is no subscription, and its answer does not bring this node
// up to date.
func (s *subscription) readJournalOf(ctx context.Context, addr string, request *subscribeRequest) {
	request.Addr = ""
	callCtx, cancel := context.WithTimeout(ctx, subscribeTimeout.Duration())
	defer cancel()
	if response, err := s.client.subscribe(callCtx, addr, request); err == nil {
		_ = s.loop.Post(callCtx, func() { s.table.mergeAll(response.Workers, clock.Now()) })
	}
}

// sourceFailed records that a source did not answer or does not reach the core, and at
// once reads from the core which departures it would have reported (design 5.4).
func (s *subscription) sourceFailed(ctx context.Context, source string) {
	s.sources.markSilent(source, clock.Now())
	s.departures.read(ctx, readCause{sourceSilent: true})
}

// apply brings the table up to date with a response.
func (s *subscription) apply(response *subscribeResponse, now clock.Instant) {
	s.table.lastSync = now
	s.synced.Store(true)
	s.table.confirmLeases(response.Unchanged, response.Ages, response.MaxAge, now)
	s.table.mergeAll(response.Workers, now)
}
