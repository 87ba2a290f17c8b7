package gossip

import "rowanshunt/internal/clock"

// Time-outs of failure detection (design 3.3). Nothing depends on the detection being
// right: it decides only which node tries something, never whether it may happen.
const (
	// silenceTimeout is how long a record may stand still before its node is believed
	// to be dead: six and a half rounds, so that a few lost exchanges and the hops
	// between two nodes do not look like a failure.
	silenceTimeout = 1_300 * clock.Millisecond
	// fullCoverage is the number of peers up to which exchanges of maxDigests records
	// spread the news of each within silenceTimeout. With more peers the news of one
	// takes longer in proportion.
	fullCoverage = 96
	// contactTimeout is how long a node counts as in contact after its last answer:
	// four rounds, and longer than exchangeTimeout, so that one slow call does not
	// end the contact.
	contactTimeout = 800 * clock.Millisecond
	// forgetTimeout is when a dead node leaves the table. Until then it is tried now
	// and then, so that it is found again after a partition.
	forgetTimeout = clock.Minute
)

// silenceTimeoutFor is the time-out of silence with that many peers in the table.
func silenceTimeoutFor(peers int) clock.Micros {
	return silenceTimeout * clock.Micros(max(peers, fullCoverage)) / fullCoverage
}
