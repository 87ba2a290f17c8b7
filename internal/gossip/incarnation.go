package gossip

// Incarnation orders the records that a node publishes about itself: the higher one is
// the later. It is a count of starts above a random tag of the process. The count can be
// raised (refutation, as with SWIM's incarnation numbers) while the tag stays, so that
// the record still belongs to the same process (design 3.5). No clock has a part in it.
type Incarnation int64

const (
	// firstIncarnation lies above all numbers of the previous version, which were
	// the time of day in microseconds.
	firstIncarnation = Incarnation(1) << 52
	tagBits          = 20
	tagMask          = Incarnation(1)<<tagBits - 1
	// maxIncarnation bounds what is accepted from a peer, so that a damaged record
	// cannot exhaust the numbers.
	maxIncarnation = Incarnation(1) << 62
)

func newIncarnation(starts int64, tag Incarnation) Incarnation {
	return firstIncarnation + Incarnation(starts)<<tagBits | tag&tagMask
}

func (i Incarnation) tag() Incarnation { return i & tagMask }

func (i Incarnation) starts() int64 { return int64((i - firstIncarnation) >> tagBits) }

// counted reports whether this version made the number.
func (i Incarnation) counted() bool { return i >= firstIncarnation }

// above is the lowest incarnation of this process that is higher than other.
func (i Incarnation) above(other Incarnation) Incarnation {
	return newIncarnation(max(other.starts()+1, 0), i.tag())
}
