package batch

import (
	"slices"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/fault"
)

// leaseSpan is how long a lease runs: twice as long with each delivery, up to maxDoublings.
func (o Options) leaseSpan(deliveryCount int64) clock.Micros {
	return o.AckWait << min(max(deliveryCount-1, 0), maxDoublings)
}

// leaseID names a lease: by its term's number and the revision that granted it. No two
// answered leases of one item share an id; items leased in one op share it, and those of
// other jobs may, so a lease is always compared together with its item.
func leaseID(term Term, revision uint64) uint64 { return term.Number<<32 | revision&(1<<32-1) }

// resultLease is the lease under which an item was listed.
func (j *Job) resultLease(item int) uint64 {
	for i := range j.Results {
		if j.Results[i].Item == item {
			return j.Results[i].Lease
		}
	}
	return 0
}

// renewLeases goes through what the asker runs: a live lease is renewed, another
// one must stop. A lease that the rows say it holds and that it does not name was lost
// on the way and ends (design 8.7).
func (d *deliveryService) renewLeases(from string, held []InFlightItem) (stop []InFlightItem) {
	now := clock.Now()
	have := make(map[InFlightItem]bool, len(held))
	for _, h := range held {
		s := d.shards.served(h.Shard)
		if s == nil {
			continue
		}
		have[h] = true
		job := s.jobs[h.Job]
		if job == nil || job.schedule == nil || h.Item < 0 || h.Item >= len(job.Items) || job.Ended || job.listed[h.Item] || !job.leaseLive(h.Item, h.Lease, now) {
			stop = append(stop, h)
			continue
		}
		job.schedule.items[h.Item].leasableAt = now.Add(d.cfg.Options.leaseSpan(job.Deliveries[h.Item].DeliveryCount))
	}
	d.eachLease(now, func(s *shard, job *Job, i int, p *itemState) {
		if job.Deliveries[i].Holder == from && now.Sub(p.lastSent) > lostLeaseAge && !have[InFlightItem{Shard: s.number, Job: job.ID, Item: i, Lease: job.Deliveries[i].Lease}] {
			p.leasableAt = now
		}
	})
	return stop
}

// leaseLive reports whether that lease of an item is live: the same one, not over.
func (j *Job) leaseLive(item int, lease uint64, now clock.Instant) bool {
	return lease != 0 && j.Deliveries[item].Lease == lease && now < j.schedule.items[item].leasableAt
}

// eachLease walks over the items with live leases.
func (d *deliveryService) eachLease(now clock.Instant, fn func(s *shard, job *Job, i int, p *itemState)) {
	for _, s := range d.shards {
		if s.owner == nil {
			continue
		}
		for _, job := range s.jobs {
			if job.schedule == nil || job.closed() {
				continue
			}
			for i := range job.schedule.items {
				if p := &job.schedule.items[i]; job.Deliveries[i].Lease != 0 && p.leasableAt > now && !job.listed[i] {
					fn(s, job, i, p)
				}
			}
		}
	}
}

// endLeasesOfLost ends the leases of dispatchers that are gone.
func (d *deliveryService) endLeasesOfLost(now clock.Instant) {
	view := d.cfg.Gossip.Snapshot()
	d.eachLease(now, func(_ *shard, job *Job, i int, state *itemState) {
		if now.Sub(state.lastSent) < lostLeaseAge {
			return
		}
		if p := view.Get(job.Deliveries[i].Holder); p == nil || !p.Alive && now.Sub(p.StateChanged) > lostLeaseAge {
			state.leasableAt = now
		}
	})
}

// leaseBatch collects the leases for one answer to a poll.
type leaseBatch struct {
	d          *deliveryService
	request    *PollRequest
	now        clock.Instant
	limit      int // of items
	bytes      int // of their bodies
	deliveries []DeliveredItem
	changed    []*jobLeases
	skipped    []cacheEntry    // not for this asker, or not to be served now
	confirmed  map[*shard]bool // whether the owner may serve, asked once for each shard
}

// jobLeases are the new delivery rows of one job.
type jobLeases struct {
	shard *shard
	job   *Job
	rows  []DeliveryAt
}

func (d *deliveryService) newLeaseBatch(request *PollRequest) *leaseBatch {
	return &leaseBatch{d: d, request: request, now: clock.Now(), limit: min(request.Capacity, d.cfg.Options.BatchSize), confirmed: map[*shard]bool{}}
}

func (lb *leaseBatch) full() bool { return len(lb.deliveries) >= lb.limit || lb.bytes >= maxPollBytes }

// add handles a cached item: it is leased to the asker, skipped, or no longer to be sent.
func (lb *leaseBatch) add(entry cacheEntry) {
	job, state := entry.dequeue()
	if job == nil {
		return
	}
	s := entry.shard
	if _, asked := lb.confirmed[s]; !asked {
		lb.confirmed[s] = lb.d.mayServePolls(s)
	}
	if !lb.confirmed[s] || slices.Contains(lb.request.HostsAtLimit, job.Host) {
		state.cached = true
		lb.skipped = append(lb.skipped, entry)
		return
	}
	former := &job.Deliveries[entry.index]
	row := Delivery{Lease: leaseID(s.owner.term, job.Revision+1), Holder: lb.request.From, DeliveryCount: former.DeliveryCount + 1, Fails: former.Fails}
	leases := lb.leasesOf(s, job)
	leases.rows = append(leases.rows, DeliveryAt{Item: entry.index, Delivery: row})
	state.lastSent, state.leasableAt = lb.now, lb.now.Add(lb.d.cfg.Options.leaseSpan(row.DeliveryCount))
	lb.bytes += len(job.Items[entry.index].Body)
	age := s.age(job, lb.now)
	lb.deliveries = append(lb.deliveries, DeliveredItem{Shard: s.number, Job: job.ID, Host: job.Host, Index: entry.index, DeliveryCount: row.DeliveryCount, Lease: row.Lease,
		RetainLeftUs: int64(millis(job.RetainMs) - age), DueInUs: int64(millis(job.DueMs) - age), Item: job.Items[entry.index]})
}

// leasesOf returns the rows of a job, which all go into one op.
func (lb *leaseBatch) leasesOf(s *shard, job *Job) *jobLeases {
	for _, leases := range lb.changed {
		if leases.job == job {
			return leases
		}
	}
	leases := &jobLeases{shard: s, job: job}
	lb.changed = append(lb.changed, leases)
	return leases
}

// errLease is the answer to an ack or nack under a lease that is over.
func errLease(jobID string) error {
	return fault.New(fault.Stale, jobID, "the lease is not the live one", "drop what was run under it")
}
