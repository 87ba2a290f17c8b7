package batch

import (
	"context"
	"slices"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/fault"
)

// Figures of deliveries (design 8.7).
const (
	maxDoublings    = 5                        // of the wait for an ack
	lostLeaseAge    = 1500 * clock.Millisecond // a lease that its holder does not name after this long was lost on the way
	pollMargin      = 250 * clock.Millisecond  // the margin before an asker's deadline, at most
	ownershipMaxAge = 400 * clock.Millisecond  // how long ago a majority may have confirmed the owner for polls to be served
	maxPollBytes    = 1 << 20                  // what one answer to a dispatcher holds
)

// deliveryService is the dispatchers' side of the queue, after docs/paper.md: due items go into a
// bounded send cache; each is leased to at most one dispatcher at a time, in batches,
// round-robin; one that is not acked in time is sent again, each wait twice the one
// before; one that was acked never is (design 8.7).
//
// lease.go has the leases, ack.go what ends them. All fields belong to the event loop.
type deliveryService struct {
	cfg         *Config
	shards      *shardTable
	replication *replicator
	reads       *readService

	cache        sendCache
	waitingPolls []*pendingPoll
}

// pendingPoll is a poll that waits for items.
type pendingPoll struct {
	request  *PollRequest
	stop     []InFlightItem
	deadline clock.Instant // no lease is given after it: a margin before the caller's own time is over
	reply    func(*PollResponse, error)
}

// handlePoll leases items, or waits for some. It also renews the leases that the
// caller names (renewLeases).
func (d *deliveryService) handlePoll(ctx context.Context, in *PollRequest) (*PollResponse, error) {
	return callLoop(ctx, d.cfg.Loop, func(reply func(*PollResponse, error)) {
		now := clock.Now()
		poll := &pendingPoll{request: in, stop: d.renewLeases(in.From, in.InFlight), deadline: now.Add(clock.Micros(in.WaitUs)), reply: reply}
		if in.LeftUs > 0 {
			left := clock.Micros(in.LeftUs)
			poll.deadline = min(poll.deadline, now.Add(left-min(pollMargin, left/4)))
		}
		if in.Capacity <= 0 || len(poll.stop) > 0 {
			d.respondToPoll(poll, nil)
			return
		}
		d.waitingPolls = append(d.waitingPolls, poll)
		d.serveWaitingPolls()
	})
}

// sweepJobs expires what is past its time and moves due items into the send cache, those
// of the jobs due earliest first.
func (d *deliveryService) sweepJobs() {
	now := clock.Now()
	var due []dueItem
	drops := 0
	for _, s := range d.shards {
		if s.owner == nil || !s.owner.ready {
			continue
		}
		for id, job := range s.jobs {
			if !job.committed && !job.refused() || job.schedule == nil {
				continue
			}
			age := s.age(job, now)
			switch {
			case job.closed():
				d.expireClosed(s, job, age, &drops)
			case age > millis(job.RetainMs):
				d.expireItems(s, job)
			default:
				due = appendDue(due, cacheEntry{shard: s, jobID: id}, job, age, now)
			}
		}
	}
	d.cache.admit(due, d.cfg.Options.CacheSize)
	d.serveWaitingPolls()
}

// appendDue adds a job's items that may be sent now.
func appendDue(due []dueItem, entry cacheEntry, job *Job, age clock.Micros, now clock.Instant) []dueItem {
	for i := range job.Items {
		state := &job.schedule.items[i]
		if job.listed[i] || state.cached || state.leasableAt > now {
			continue
		}
		entry.index = i
		due = append(due, dueItem{entry: entry, dueIn: millis(job.DueMs) - age})
	}
	return due
}

// expireItems lists all open items of a job whose time is over.
func (d *deliveryService) expireItems(s *shard, job *Job) {
	for i := range job.Items {
		if !job.listed[i] {
			d.listResult(s, job, Result{Item: i, Phase: PhaseDeadLettered, Why: WhyTime}, nil)
		}
	}
}

// serveWaitingPolls leases what is in the cache to the polls that wait, the oldest first.
func (d *deliveryService) serveWaitingPolls() {
	for i := 0; i < len(d.waitingPolls) && len(d.cache.entries) > 0; {
		poll := d.waitingPolls[i]
		if clock.Now() >= poll.deadline {
			return // answered empty by the next tick
		}
		if !d.leaseTo(i) {
			if len(poll.request.HostsAtLimit) == 0 {
				return
			}
			i++ // what is there is not for this one: the next may run it
		}
	}
}

// mayServePolls reports whether the shard's owner may serve polls: a majority has
// confirmed it within ownershipMaxAge. Else a majority is asked, and the polls are
// served when it answers.
func (d *deliveryService) mayServePolls(s *shard) bool {
	o := s.owner
	if clock.Since(o.quorumContact(d.cfg.Member)) <= ownershipMaxAge {
		return true
	}
	if !o.confirmingOwnership {
		o.confirmingOwnership = true
		d.replication.propose(s, op{Kind: opNone}, func(err error) {
			o.confirmingOwnership = false
			if err == nil {
				d.serveWaitingPolls()
			}
		})
	}
	return false
}

// leaseTo leases cached items, the oldest first, to a poll that waits; it is answered
// once the leases are on disk at a majority (design 8.7).
func (d *deliveryService) leaseTo(at int) bool {
	poll := d.waitingPolls[at]
	batch := d.newLeaseBatch(poll.request)
	taken := 0
	for taken < len(d.cache.entries) && !batch.full() {
		batch.add(d.cache.entries[taken])
		taken++
	}
	d.cache.replace(append(batch.skipped, d.cache.entries[taken:]...))
	if len(batch.deliveries) == 0 {
		return false
	}
	d.waitingPolls = slices.Delete(d.waitingPolls, at, at+1)
	saved := afterAll(len(batch.changed), func(err error) {
		if err != nil {
			poll.reply(nil, err)
			return
		}
		d.respondToPoll(poll, batch.deliveries)
	})
	for _, c := range batch.changed {
		d.replication.propose(c.shard, op{Kind: opDeliveries, JobID: c.job.ID, Revision: c.job.Revision + 1, Deliveries: c.rows}, saved)
	}
	return true
}

// respondToPoll answers once the ownership of every shard it speaks for is
// confirmed: the dispatcher's permission to send follows from it (design 9.2).
func (d *deliveryService) respondToPoll(poll *pendingPoll, given []DeliveredItem) {
	out := &PollResponse{Deliveries: given, Stop: poll.stop}
	named := map[int]bool{}
	for _, item := range given {
		named[item.Shard] = true
	}
	for _, item := range poll.request.InFlight {
		named[item.Shard] = true
	}
	for n := range named {
		if d.shards.served(n) != nil {
			out.Shards = append(out.Shards, n)
		}
	}
	confirmed := afterAll(len(out.Shards)+1, func(err error) {
		if err != nil {
			poll.reply(nil, err)
			return
		}
		poll.reply(out, nil)
	})
	for _, n := range out.Shards {
		if d.shards[n].owner == nil {
			confirmed(fault.New(fault.Unsure, "shard", "changed hands meanwhile", "ask again"))
			continue
		}
		d.replication.confirm(d.shards[n], ownershipMaxAge, confirmed)
	}
	confirmed(nil)
}

// expireWaiting answers polls and reads whose wait is over, and ends the leases of
// dispatchers that are gone.
func (d *deliveryService) expireWaiting() {
	now := clock.Now()
	var due []*pendingPoll
	d.waitingPolls, due = removeDue(d.waitingPolls, func(p *pendingPoll) bool { return now >= p.deadline })
	for _, poll := range due {
		d.respondToPoll(poll, nil)
	}
	d.reads.wake(now)
	d.endLeasesOfLost(now)
}

// clearCache empties the cache when a shard loses its owner here.
func (d *deliveryService) clearCache() { d.cache.clear(d.shards) }
