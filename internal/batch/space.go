package batch

import "rowanshunt/internal/clock"

// What jobs may take of a store's disk and memory (design 10.5). The figures are
// our own.
const (
	// reserveShare of the disk, but at least minReserveBytes, is kept free of
	// jobs: a half of it for what is appended between the decision to compact and
	// the compaction, the other half for the node's other files.
	reserveShare    = 16
	minReserveBytes = 2 << 20
	// diskPercent of the rest may be taken by jobs: a compaction needs the old file
	// beside the new one, and what is left of the second half is the log's.
	diskPercent = 44
	// memoryPercent of the memory may be taken by jobs: they are all in memory,
	// and the heap has garbage and calls besides.
	memoryPercent = 30

	// minCompactionBytes is the least length from which a file is compacted.
	minCompactionBytes = 16 << 20

	countInterval = clock.Second // the count walks over all jobs: a few ms on a large store

	// What is kept free for the result of an item that has none yet: a quarter
	// more than the mean of the results that are here, or defaultResultBytes
	// while there are fewer than minResults.
	defaultResultBytes = 4096
	minResultBytes     = 256
	minResults         = 32

	storedItemBytes      = 32 // of an item beside what Job.cost counts: its delivery row
	capacityRetryAfterMs = maxRetryAfterMs

	appendedItemBytes = 256 // delivery rows of an item's runs, before its result
	appendedJobBytes  = 512 // the end of a job, its tombstone and its drop
)

// fileSize is what the account needs to know of the log file.
type fileSize interface {
	SizeBytes() int64
	PendingBytes() int64
}

// spaceAccount accounts for the disk and memory that the jobs here take, and decides
// what still fits (design 10.5). It counts all jobs once a second and adds what is
// accepted in between. It belongs to the event loop.
type spaceAccount struct {
	cfg    *Config
	shards *shardTable
	file   fileSize // nil until the log is open
	usage  spaceUsage

	minCompactionThreshold int64
}

// spaceUsage is what the jobs of this store take, as of the last count.
type spaceUsage struct {
	counted        clock.Instant
	compactedBytes int64 // of a file that is compacted now, at most
	reservedBytes  int64 // of the results of items that were accepted and have none
	addedBytes     int64 // of jobs that were accepted since the count, with their results
	appendBytes    int64 // what the jobs here may still append to the file
	resultBytes    int64 // kept free for one result
}

// usedBytes is what must fit.
func (s *spaceUsage) usedBytes() int64 { return s.compactedBytes + s.reservedBytes + s.addedBytes }

// storedBytes is what a job takes in a compacted file, at most.
func (j *Job) storedBytes() int64 {
	if j.closedBytes > 0 {
		return j.closedBytes
	}
	n := int64(j.cost()) + int64(len(j.ID)+len(j.Host)+len(j.Path)+len(j.Route)) + storedItemBytes*int64(len(j.Items))
	for i := range j.Items {
		n += int64(len(j.Items[i].ID))
	}
	if j.closed() {
		j.closedBytes = n
	}
	return n
}

// openItems is how many items may still bring a result.
func (j *Job) openItems() int64 {
	if j.Ended {
		return 0
	}
	return int64(len(j.Items) - len(j.Results))
}

// count counts what all jobs here take.
func (sa *spaceAccount) count(now clock.Instant) {
	var held, open, results, resultBytes, jobs int64
	for _, s := range sa.shards {
		for _, job := range s.jobs {
			held += job.storedBytes()
			jobs++
			open += job.openItems()
			for i := range job.Results {
				resultBytes += int64(len(job.Results[i].Msg))
			}
			results += int64(len(job.Results))
		}
	}
	one := int64(defaultResultBytes)
	if results >= minResults {
		one = max(resultBytes/results*5/4, minResultBytes)
	}
	sa.usage = spaceUsage{counted: now, compactedBytes: held, reservedBytes: open * one, resultBytes: one,
		appendBytes: open*(one+appendedItemBytes) + jobs*appendedJobBytes}
}

// reserveBytes is the part of the disk that jobs leave free.
func (sa *spaceAccount) reserveBytes() int64 {
	return max(sa.cfg.DiskBytes/reserveShare, minReserveBytes)
}

// jobBytesLimit is the most that jobs may take if compactions are to go on for ever. A
// bound that is not known is none.
func (sa *spaceAccount) jobBytesLimit() int64 {
	most := int64(1) << 62
	if sa.cfg.DiskBytes > 0 {
		most = (sa.cfg.DiskBytes - sa.reserveBytes()) * diskPercent / 100
	}
	if sa.cfg.MemoryBytes > 0 {
		most = min(most, sa.cfg.MemoryBytes*memoryPercent/100)
	}
	return most
}

// projectedBytes is what a job takes once all its results are there.
func (sa *spaceAccount) projectedBytes(job *Job) int64 {
	one := sa.usage.resultBytes
	if one == 0 {
		one = defaultResultBytes
	}
	return int64(job.cost()) + (one+storedItemBytes)*int64(len(job.Items))
}

// full reports whether this store wants no new jobs.
func (sa *spaceAccount) full() bool { return !sa.fits(0) }

// fits reports whether so much more fits, with all that was accepted: into the
// memory, and on the disk either by compactions for as long as need be, or without
// any, at the end of the file that is there. A file that grows so far that it can't
// be compacted takes no jobs until the results of those it has were dropped; the reserve
// then has space for what is left of them.
func (sa *spaceAccount) fits(moreBytes int64) bool {
	used := sa.usage.usedBytes() + moreBytes
	if sa.cfg.MemoryBytes > 0 && used > sa.cfg.MemoryBytes*memoryPercent/100 {
		return false
	}
	if sa.cfg.DiskBytes <= 0 || used <= sa.jobBytesLimit() && sa.compactionFits() {
		return true
	}
	appended := sa.file.SizeBytes() + sa.file.PendingBytes() + sa.usage.appendBytes + sa.usage.addedBytes + moreBytes
	return appended <= sa.cfg.DiskBytes-sa.reserveBytes()
}

// nextCompactionThreshold is the length at which the file is compacted next: twice what its
// jobs take, but no longer than a compacted one fits beside it, and no shorter than one
// saves something.
func (sa *spaceAccount) nextCompactionThreshold() int64 {
	held := sa.usage.compactedBytes
	long := max(2*held, sa.minCompactionThreshold)
	if sa.cfg.DiskBytes > 0 {
		long = min(long, sa.cfg.DiskBytes-sa.reserveBytes()-held)
	}
	return max(long, held+held/8)
}

// compactionFits reports whether the old file and the new one fit side by side,
// with half of the reserve left. One that doesn't fit is not begun: it would fill
// the disk and fail.
func (sa *spaceAccount) compactionFits() bool {
	if sa.cfg.DiskBytes <= 0 {
		return true
	}
	there := sa.file.SizeBytes() + sa.file.PendingBytes()
	return there+sa.usage.compactedBytes+sa.usage.addedBytes+sa.reserveBytes()/2 <= sa.cfg.DiskBytes
}
