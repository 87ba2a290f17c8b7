package balancer

import (
	"strconv"
	"strings"
)

// PrefixSegment is one segment of a prompt, as its client names it. Requests whose
// first segments are the same share a prefix that a worker may have in its cache.
type PrefixSegment struct {
	ID     string
	Tokens int64
}

// Bounds of what is read of the header.
const (
	maxSegments      = 64
	maxSegmentTokens = 1 << 32
)

// ParsePrefixSegments reads X-Rowanshunt-Prompt-Prefix ("id:tokens, ..."). A segment
// that cannot be read is left out.
func ParsePrefixSegments(header string) []PrefixSegment {
	if header == "" {
		return nil
	}
	var segments []PrefixSegment
	for _, part := range strings.Split(header, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(part), ":")
		if !ok || id == "" || len(segments) >= maxSegments {
			continue
		}
		tokens, err := strconv.ParseInt(count, 10, 64)
		if err != nil || tokens < 0 || tokens > maxSegmentTokens {
			continue
		}
		segments = append(segments, PrefixSegment{ID: id, Tokens: tokens})
	}
	return segments
}

// longPrefixTokens is from where on a shared prefix is worth a worker of its own: its
// last shared segment ranks the owners then, the first one otherwise.
const longPrefixTokens = 2000

// sharedPrefix is the segment by which the owners of a prompt's prefix are ranked, ""
// if it shares none, and the tokens of all shared segments. The last segment is the
// prompt's own.
func sharedPrefix(segments []PrefixSegment) (key string, tokens int64) {
	if len(segments) < 2 {
		return "", 0
	}
	shared := segments[:len(segments)-1]
	for _, segment := range shared {
		tokens += segment.Tokens
	}
	if tokens >= longPrefixTokens {
		return shared[len(shared)-1].ID, tokens
	}
	return shared[0].ID, tokens
}
