package discovery

import (
	"sort"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
)

// silentSourceTTL is how long a source that failed is avoided (design 5.2): four
// renewals, so that a source that is down costs few of them.
const silentSourceTTL = 2 * clock.Second

// sources selects the nodes from which this one gets its updates, and remembers those
// that did not answer or do not reach the core. It does no I/O and belongs to the
// event loop.
type sources struct {
	self   gossip.Peer
	failed map[string]clock.Instant // by node: when it last failed
}

func newSources(self gossip.Peer) *sources {
	return &sources{self: self, failed: map[string]clock.Instant{}}
}

// isSilent tells whether a node is to be avoided.
func (s *sources) isSilent(name string, now clock.Instant) bool {
	at, failed := s.failed[name]
	return failed && now.Sub(at) < silentSourceTTL
}

// markSilent records a failure and drops those that are over.
func (s *sources) markSilent(name string, now clock.Instant) {
	for other := range s.failed {
		if !s.isSilent(other, now) {
			delete(s.failed, other)
		}
	}
	s.failed[name] = now
}

// choose gives the source for a service, "" if this node has none but itself: the
// zone's aggregator, or that of the next zone if it is this node or is silent. A
// silent one is chosen if there is no other.
func (s *sources) choose(aggregators map[string]string, now clock.Instant) string {
	local := aggregators[s.self.Az]
	isSelf := local == s.self.Name
	if local != "" && !isSelf && !s.isSilent(local, now) {
		return local
	}
	other := s.nextZone(aggregators, now)
	if other == "" && !isSelf {
		return local
	}
	return other
}

// nextZone is the aggregator of the next zone in the order of the zones' names that is
// not silent, or of the next zone if all are. Each zone's aggregator asks that of the
// next one, so that zones cannot drift apart.
func (s *sources) nextZone(aggregators map[string]string, now clock.Instant) string {
	var zones []string
	for az := range aggregators {
		if az != s.self.Az {
			zones = append(zones, az)
		}
	}
	if len(zones) == 0 {
		return ""
	}
	sort.Strings(zones)
	first := sort.SearchStrings(zones, s.self.Az)
	for i := range zones {
		if name := aggregators[zones[(first+i)%len(zones)]]; !s.isSilent(name, now) {
			return name
		}
	}
	return aggregators[zones[first%len(zones)]]
}
