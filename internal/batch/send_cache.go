package batch

import "sort"
import "rowanshunt/internal/clock"

// sendCache holds the items that are due, in the order in which they are to be sent: the
// bounded cache of docs/paper.md (design 8.7); deliveryService.sweepJobs fills it, polls empty it.
// It belongs to the event loop.
type sendCache struct {
	entries []cacheEntry
}

// cacheEntry names an item; itemState.cached is set while it is in the cache.
type cacheEntry struct {
	shard *shard
	jobID string
	index int
}

// dueItem is an item that may go into the cache.
type dueItem struct {
	entry cacheEntry
	dueIn clock.Micros // until its job is due
}

func (ce *cacheEntry) job() *Job { return ce.shard.jobs[ce.jobID] }

// dequeue returns a cached item's job and state, nil if it may not be sent any more, and
// marks the item as no longer cached.
func (ce *cacheEntry) dequeue() (*Job, *itemState) {
	job := ce.job()
	if job == nil || job.schedule == nil || ce.shard.owner == nil || ce.index >= len(job.schedule.items) {
		return nil, nil
	}
	state := &job.schedule.items[ce.index]
	state.cached = false
	if job.Ended || job.listed[ce.index] {
		return nil, nil
	}
	return job, state
}

// admit adds the items whose jobs are due first, up to the capacity. One host's flood
// leaves capacity for the others' items: the rest waits for a later fill.
func (sc *sendCache) admit(due []dueItem, capacity int) {
	sort.SliceStable(due, func(i, j int) bool { return due[i].dueIn < due[j].dueIn })
	perHost := map[string]int{}
	for _, entry := range sc.entries {
		if job := entry.job(); job != nil {
			perHost[job.Host]++
		}
	}
	hosts := map[string]bool{}
	for _, d := range due {
		hosts[d.entry.job().Host] = true
	}
	for host := range perHost {
		hosts[host] = true
	}
	most := capacity / max(len(hosts), 1)
	for _, d := range due {
		if len(sc.entries) >= capacity {
			return
		}
		job := d.entry.job()
		if perHost[job.Host] >= most {
			continue
		}
		perHost[job.Host]++
		job.schedule.items[d.entry.index].cached = true
		sc.entries = append(sc.entries, d.entry)
	}
}

// replace puts back what a poll left.
func (sc *sendCache) replace(entries []cacheEntry) {
	sc.entries = entries
	if len(entries) == 0 {
		sc.entries = nil
	}
}

// clear empties the cache; the next fill puts in again what is still due.
func (sc *sendCache) clear(shards *shardTable) {
	sc.entries = nil
	for _, s := range shards {
		if s.owner == nil {
			continue
		}
		for _, job := range s.jobs {
			if job.schedule == nil {
				continue
			}
			for i := range job.schedule.items {
				job.schedule.items[i].cached = false
			}
		}
	}
}
