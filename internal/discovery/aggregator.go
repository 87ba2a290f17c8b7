package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
)

// maxSubscribedServices bounds the work that one request makes.
const maxSubscribedServices = 4096

// usualAge is the age up to which the last heartbeat of a worker counts as on time
// (design 5.2): one and a half intervals.
func usualAge(heartbeatInterval clock.Micros) clock.Micros { return heartbeatInterval * 3 / 2 }

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
	pending *pushBatch // nil if no push waits; mu guards it
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
			sub.progressOf(svc).same(now)
			out.Unchanged = append(out.Unchanged, svc)
			out.Ages = append(out.Ages, a.table.lateAges(svc, a.usualAge, now)...)
		} else {
			records := sub.progressOf(svc).next(a.table.recordsIn(svc), in.Digests[i], now)
			out.Workers = appendAged(out.Workers, records, now)
		}
	}
	return out
}

// restoredRecords answers a node that has just started and does not subscribe: it gets
// what is known from the journal only. The rest it has from its own source.
func (a *aggregator) restoredRecords(in *subscribeRequest, now clock.Instant) *subscribeResponse {
	out := &subscribeResponse{MaxAge: a.usualAge}
	for _, svc := range in.Services {
		restored := slices.DeleteFunc(slices.Clone(a.table.recordsIn(svc)), func(r *record) bool { return !r.Restored })
		// Of more than an answer holds, some: the next one has others.
		if len(restored) > maxRecordsSent {
			from := rand.IntN(len(restored) - maxRecordsSent + 1)
			restored = restored[from : from+maxRecordsSent]
		}
		out.Workers = appendAged(out.Workers, restored, now)
	}
	return out
}
