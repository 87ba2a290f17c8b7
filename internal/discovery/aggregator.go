package discovery

import (
	"context"
	"sync"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
)

const (
	// subscriptionTTL outlasts four renewals that are lost in a row.
	subscriptionTTL = 2_500 * clock.Millisecond
	// A subscriber whose digest differs gets the records that changed since the answer
	// before, and snapshotOverlap earlier, as that one may have been lost. It gets all if
	// that did not help: if its digest is the same renewPeriod later, or differed all the
	// time for fullSnapshotInterval and fullSnapshotPerRecord for each record. While many
	// workers register, digests differ all the time (design 5.6).
	fullSnapshotInterval  = 2 * clock.Second
	fullSnapshotPerRecord = 2 * clock.Millisecond
	snapshotOverlap       = 600 * clock.Millisecond
	// maxSubscribedServices bounds the work that one request makes.
	maxSubscribedServices = 4096
)

// usualAge is the age up to which the last heartbeat of a worker counts as on time
// (design 5.2): one and a half intervals.
func usualAge(heartbeatInterval clock.Micros) clock.Micros { return heartbeatInterval * 3 / 2 }

// subscriberTable holds the nodes that subscribed at this one. It does no I/O and
// belongs to the event loop.
type subscriberTable map[string]*subscriber // by node

type subscriber struct {
	addr    string
	expires clock.Instant
	sent    map[string]sentRecords // by service
}

// sentRecords is how a subscriber was answered of a service.
type sentRecords struct {
	answeredAt    clock.Instant
	differsSince  clock.Instant // or all records were sent since, 0 while digests are the same
	changesAt     clock.Instant // when it was first sent the changes for changesDigest
	changesDigest uint64
}

// renew renews a node's subscription, and returns it.
func (s subscriberTable) renew(name, addr string, now clock.Instant) *subscriber {
	sub := s[name]
	if sub == nil {
		sub = &subscriber{sent: map[string]sentRecords{}}
		s[name] = sub
	}
	sub.addr, sub.expires = addr, now.Add(subscriptionTTL)
	return sub
}

// recordSame notes that a subscriber has the same records of a service.
func (s *subscriber) recordSame(svc string, now clock.Instant) {
	s.sent[svc] = sentRecords{answeredAt: now}
}

// changesSince is since when changed records of a service are to be sent to a subscriber
// with another digest, 0 for all of them. One that is new, or without any, gets all.
func (s *subscriber) changesSince(svc string, digest uint64, records int, now clock.Instant) clock.Instant {
	sent, known := s.sent[svc]
	if sent.differsSince == 0 {
		sent.differsSince = now
	}
	longest := fullSnapshotInterval + clock.Micros(records)*fullSnapshotPerRecord
	same := sent.changesAt > 0 && digest == sent.changesDigest
	if !known || digest == 0 || now.Sub(sent.differsSince) >= longest || same && now.Sub(sent.changesAt) >= renewPeriod {
		s.sent[svc] = sentRecords{answeredAt: now, differsSince: now}
		return 0
	}
	if !same {
		sent.changesAt, sent.changesDigest = now, digest
	}
	since := sent.answeredAt.Add(-snapshotOverlap)
	sent.answeredAt = now
	s.sent[svc] = sent
	return since
}

func (s subscriberTable) expire(now clock.Instant) {
	for name, sub := range s {
		if now > sub.expires {
			delete(s, name)
		}
	}
}

func (s subscriberTable) addrs() []string {
	var addrs []string
	for _, sub := range s {
		addrs = append(addrs, sub.addr)
	}
	return addrs
}

// aggregator serves the nodes that subscribed at this one: it answers what they lack
// and pushes updates to them. Its tables belong to the event loop.
type aggregator struct {
	loop        *eventloop.Loop
	client      *peerClient
	table       *workerTable
	contact     *coreContact
	subscribers subscriberTable
	usualAge    clock.Micros
	loads       loadHooks

	mu      sync.Mutex
	pending *pushBatch // nil if no push waits
}

// pushWindow is how long the records that come one after the other are collected before
// they are pushed, each subscriber getting one call: with thousands of workers that
// register at a time, calls follow subscribers and not workers x subscribers. It is
// short beside the time in which an update is to be known (design 5.2).
const pushWindow = 20 * time.Millisecond

// maxPushBatch bounds the records of one push.
const maxPushBatch = 256

// pushBatch are the records that are pushed together.
type pushBatch struct {
	workers []Worker
	done    chan struct{} // closed once all subscribers have answered, or had the time to
}

// handleSubscribe answers kindSubscribe.
func (a *aggregator) handleSubscribe(ctx context.Context, in *subscribeRequest) (*subscribeResponse, error) {
	if len(in.Services) != len(in.Digests) || len(in.Services) > maxSubscribedServices {
		return nil, fault.New(fault.Invalid, "svcs", "and digests do not match", "run the same version on all nodes")
	}
	a.loads.merge(in.From, in.Loads)
	return eventloop.Call(ctx, a.loop, func() *subscribeResponse { return a.subscribe(in, clock.Now()) })
}

func (a *aggregator) subscribe(in *subscribeRequest, now clock.Instant) *subscribeResponse {
	if in.Addr == "" {
		return a.restoredRecords(in, now)
	}
	sub := a.subscribers.renew(in.From, in.Addr, now)
	out := &subscribeResponse{MaxAge: a.usualAge}
	if !a.contact.reachesMajority(now) {
		out.Unchanged = append(out.Unchanged, coreUnreachableMark)
	}
	out.Loads = a.loads.local(true)
	for i, svc := range in.Services {
		if a.table.digest(svc) == in.Digests[i] {
			sub.recordSame(svc, now)
			out.Unchanged = append(out.Unchanged, svc)
			out.Ages = append(out.Ages, a.table.lateAges(svc, a.usualAge, now)...)
		} else {
			since := sub.changesSince(svc, in.Digests[i], len(a.table.records), now)
			out.Workers = append(out.Workers, a.table.recordsOf(svc, since, now)...)
		}
	}
	return out
}

// restoredRecords answers a node that has just started and does not subscribe: it gets
// what is known from the journal only. The rest it has from its own source.
func (a *aggregator) restoredRecords(in *subscribeRequest, now clock.Instant) *subscribeResponse {
	out := &subscribeResponse{MaxAge: a.usualAge}
	for _, svc := range in.Services {
		for _, r := range a.table.recordsIn(svc) {
			if r.Restored {
				out.Workers = append(out.Workers, r.aged(now))
			}
		}
	}
	return out
}

// push sends records to all subscribers, together with those that come within pushWindow,
// and waits for them, at most pushWindow and pushTimeout. A subscriber that fails gets
// them with its next renewal.
func (a *aggregator) push(workers ...Worker) {
	<-a.join(workers).done
}

// join adds records to the batch that is being collected, or begins one.
func (a *aggregator) join(workers []Worker) *pushBatch {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil || len(a.pending.workers) >= maxPushBatch {
		batch := &pushBatch{done: make(chan struct{})}
		a.pending = batch
		go a.pushAfterWindow(batch) // ends after pushWindow and pushTimeout
	}
	a.pending.workers = append(a.pending.workers, workers...)
	return a.pending
}

func (a *aggregator) pushAfterWindow(batch *pushBatch) {
	defer close(batch.done)
	clock.Sleep(a.client.lifetime, pushWindow)
	a.mu.Lock()
	if a.pending == batch {
		a.pending = nil
	}
	a.mu.Unlock()
	addrs, err := eventloop.Call(a.client.lifetime, a.loop, a.subscribers.addrs)
	if err != nil {
		return
	}
	var pushes sync.WaitGroup
	for _, addr := range addrs {
		pushes.Go(func() { _ = a.client.push(addr, &updateRequest{Workers: batch.workers}) })
	}
	pushes.Wait()
}
