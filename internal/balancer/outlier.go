package balancer

import (
	"rowanshunt/internal/clock"
	"rowanshunt/internal/discovery"
)

// Outlier detection (design 7.4): a worker whose responses fail far more often than
// those of its service is ejected for a while. Workers are judged by their responses
// alone, because health checks may be wrong either way. A node sees too little of each
// of many workers, so nodes report their counts to the zone's aggregator, which adds
// them up.
const (
	// observationWidth is the width of one of the two buckets of a worker's responses.
	observationWidth = 2 * clock.Second
	minFailures      = 3   // before a worker is ejected
	minFailureRatio  = 0.2 // of its responses
	outlierFactor    = 3.0 // times the ratio of its service
	maxEjectedOneIn  = 5   // at most one in so many of a service is ejected

	// An ejection lasts twice as long each time, until the worker has been in use for
	// ejectionReset.
	baseEjection  = 2 * clock.Second
	maxEjection   = 16 * clock.Second
	ejectionReset = 30 * clock.Second

	// A worker that returns is on probation until so many responses succeeded, or for
	// this time; one failure ejects it again.
	probationSuccesses = 3
	maxProbation       = 4 * clock.Second

	// peerReportTTL is how long the counts of a peer are gone by: they come each half
	// second.
	peerReportTTL  = 2_500 * clock.Millisecond
	maxPeerReports = 256
	// zoneSum is the name under which the aggregator's sum for the zone is kept.
	zoneSum = ""
)

// outcomeCounts are counts of a worker's responses.
type outcomeCounts struct{ succeeded, failed int64 }

func (o outcomeCounts) plus(other outcomeCounts) outcomeCounts {
	return outcomeCounts{o.succeeded + other.succeeded, o.failed + other.failed}
}

func (o outcomeCounts) total() int64 { return o.succeeded + o.failed }

// peerReport is what one peer counted of a worker.
type peerReport struct {
	outcomeCounts
	received clock.Instant
}

// outlierState is what the detector knows of one worker.
type outlierState struct {
	service       string
	observed      slidingWindow[outcomeCounts] // by this node
	peerReports   map[string]peerReport        // by peer
	ejectedUntil  clock.Instant
	ejections     int64 // in a row
	probationLeft int64 // responses that have yet to succeed
}

// recent adds up what this node observed.
func (o *outlierState) recent(now clock.Instant) outcomeCounts {
	o.observed.advance(now, observationWidth)
	return o.observed.current.plus(o.observed.previous)
}

// reportedByPeers adds up what peers observed themselves. The zone's sum is left out:
// reported on, it would be counted again and again.
func (o *outlierState) reportedByPeers(now clock.Instant) outcomeCounts {
	var sum outcomeCounts
	for from, report := range o.peerReports {
		if now.Sub(report.received) > peerReportTTL {
			delete(o.peerReports, from)
		} else if from != zoneSum {
			sum = sum.plus(report.outcomeCounts)
		}
	}
	return sum
}

// onProbation tells whether the worker returned and has yet to show that it is
// healthy.
func (o *outlierState) onProbation(now clock.Instant) bool {
	return o.probationLeft > 0 && now.Sub(o.ejectedUntil) < maxProbation
}

// outcomesForPeers are the counts that are reported: this node's own, or with what
// peers reported to it. Successes matter only beside failures.
func (o *outlierState) outcomesForPeers(all bool, now clock.Instant) (succeeded, failed int64) {
	counts := o.recent(now)
	if all {
		counts = counts.plus(o.reportedByPeers(now))
	}
	if counts.failed == 0 {
		return 0, 0
	}
	return counts.succeeded, counts.failed
}

// RecordWorkerOutcome counts how a response of a worker ended. It failed if it broke
// off, was a 500, or came much later than usual.
func (b *Balancer) RecordWorkerOutcome(id string, succeeded bool) {
	b.withState(id, func(state *workerState) {
		now := clock.Now()
		state.observed.advance(now, observationWidth)
		if succeeded {
			state.observed.current.succeeded++
			if state.probationLeft > 0 {
				state.probationLeft--
			}
			return
		}
		state.observed.current.failed++
		b.workers.detectOutlier(state, now)
	})
}

// acceptPeerReport takes what a peer saw fail.
func (w workerStates) acceptPeerReport(from string, load *discovery.Load, state *workerState, now clock.Instant) {
	if load.Failed == 0 {
		return
	}
	if state.peerReports == nil {
		state.peerReports = map[string]peerReport{}
	}
	if len(state.peerReports) < maxPeerReports {
		state.peerReports[from] = peerReport{outcomeCounts: outcomeCounts{load.Succeeded, load.Failed}, received: now}
	}
	w.detectOutlier(state, now)
}

// detectOutlier ejects a worker whose responses fail far more often than they should.
func (w workerStates) detectOutlier(state *workerState, now clock.Instant) {
	if now < state.ejectedUntil || state.service == "" {
		return
	}
	counts := state.countsForDetection(now)
	onProbation := state.onProbation(now)
	if !onProbation && (counts.failed < minFailures || float64(counts.failed) < minFailureRatio*float64(counts.total())) {
		return
	}
	if now.Sub(state.ejectedUntil) > ejectionReset {
		state.ejections = 0
	}
	service, mayEject := w.serviceOutcomes(state.service, now)
	if !mayEject {
		return
	}
	// Where all workers fail as much, the cause is not this one.
	if !onProbation && float64(counts.failed)*float64(service.total()) < outlierFactor*float64(service.failed)*float64(counts.total()) {
		return
	}
	state.eject(now)
}

// countsForDetection are this node's counts with those of its peers, or the zone's sum
// where that holds more failures.
func (o *outlierState) countsForDetection(now clock.Instant) outcomeCounts {
	counts := o.recent(now)
	if reported := o.reportedByPeers(now); reported.failed > 0 {
		counts = counts.plus(reported)
	}
	if zone := o.peerReports[zoneSum]; zone.failed > counts.failed && now.Sub(zone.received) <= peerReportTTL {
		counts = zone.outcomeCounts
	}
	return counts
}

// serviceOutcomes adds up the counts of all workers of a service, and tells whether one
// more of them may be ejected.
func (w workerStates) serviceOutcomes(service string, now clock.Instant) (sum outcomeCounts, mayEject bool) {
	ejected, workers := 0, 0
	for _, state := range w {
		if state.service != service {
			continue
		}
		workers++
		if now < state.ejectedUntil {
			ejected++
		}
		sum = sum.plus(state.recent(now)).plus(state.reportedByPeers(now))
	}
	return sum, ejected < max(workers/maxEjectedOneIn, 1)
}

// eject leaves the worker out and forgets what was counted.
func (o *outlierState) eject(now clock.Instant) {
	o.ejectedUntil = now.Add(min(baseEjection<<min(o.ejections, maxDoublings), maxEjection))
	o.ejections++
	o.probationLeft = probationSuccesses
	o.observed, o.peerReports = slidingWindow[outcomeCounts]{start: now}, nil
}
