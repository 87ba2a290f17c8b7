package balancer

import (
	"sync"

	"rowanshunt/internal/clock"
)

// What is remembered of the workers' prefix caches.
const (
	// prefixTTL is how long a segment is thought to stay in a worker's cache. Workers
	// do not say; longer, and busy ones have replaced it.
	prefixTTL         = 8 * clock.Second
	minCachedTokens   = 32 // shorter segments are not worth remembering
	maxCachedPrefixes = 8192
)

// prefixOnWorker names a segment in one worker's cache.
type prefixOnWorker struct{ prefix, worker string }

// prefixCache remembers which segments this node sent to which worker lately. Its
// lock guards its table; Pick holds it all along.
type prefixCache struct {
	mu   sync.Mutex
	sent map[prefixOnWorker]clock.Instant
}

func newPrefixCache() *prefixCache {
	return &prefixCache{sent: map[prefixOnWorker]clock.Instant{}}
}

// uncachedTokens counts the tokens of segments that the worker probably does not have
// in its cache. The caller holds the lock.
func (p *prefixCache) uncachedTokens(segments []PrefixSegment, worker string, now clock.Instant) float64 {
	uncached := 0.0
	for _, segment := range segments {
		sent, ok := p.sent[prefixOnWorker{segment.ID, worker}]
		if !ok || now.Sub(sent) > prefixTTL {
			uncached += float64(segment.Tokens)
		}
	}
	return uncached
}

// remember notes that a prompt's segments go to a worker. The caller holds the lock.
func (p *prefixCache) remember(segments []PrefixSegment, worker string, now clock.Instant) {
	for _, segment := range segments {
		if segment.Tokens < minCachedTokens {
			continue
		}
		p.makeSpace(now)
		p.sent[prefixOnWorker{segment.ID, worker}] = now
	}
}

// makeSpace drops entries, in no order, until a quarter is free.
func (p *prefixCache) makeSpace(now clock.Instant) {
	if len(p.sent) < maxCachedPrefixes {
		return
	}
	for entry, sent := range p.sent {
		if now.Sub(sent) > prefixTTL || len(p.sent) >= maxCachedPrefixes {
			delete(p.sent, entry)
		}
		if len(p.sent) < maxCachedPrefixes*3/4 {
			break
		}
	}
}
