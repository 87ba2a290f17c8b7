package discovery

import "rowanshunt/internal/clock"

const (
	// subscriptionTTL outlasts four renewals that are lost in a row.
	subscriptionTTL = 2_500 * clock.Millisecond
	// A subscriber whose digest differs gets the records that changed since the answer
	// before, and snapshotOverlap earlier, as that one may have been lost. It gets all if
	// that did not help: if its digest is the same renewPeriod later, or differed all the
	// time for fullSnapshotInterval and fullSnapshotPerRecord for each record. While many
	// workers register, digests differ all the time (design 5.6).
	fullSnapshotInterval  = 2 * clock.Second
	fullSnapshotPerRecord = 2 * clock.Millisecond
	snapshotOverlap       = 600 * clock.Millisecond
)

// subscriberTable holds the nodes that subscribed at this one. It does no I/O and
// belongs to the event loop.
type subscriberTable map[string]*subscriber // by node

type subscriber struct {
	addr    string
	expires clock.Instant
	sent    map[string]sentRecords // by service
}

// sentRecords is how a subscriber was answered of a service.
type sentRecords struct {
	answeredAt    clock.Instant
	differsSince  clock.Instant // or all records were sent since, 0 while digests are the same
	changesAt     clock.Instant // when it was first sent the changes for changesDigest
	changesDigest uint64
}

// renew renews a node's subscription, and returns it.
func (s subscriberTable) renew(name, addr string, now clock.Instant) *subscriber {
	sub := s[name]
	if sub == nil {
		sub = &subscriber{sent: map[string]sentRecords{}}
		s[name] = sub
	}
	sub.addr, sub.expires = addr, now.Add(subscriptionTTL)
	return sub
}

// recordSame notes that a subscriber has the same records of a service.
func (s *subscriber) recordSame(svc string, now clock.Instant) {
	s.sent[svc] = sentRecords{answeredAt: now}
}

// changesSince is since when changed records of a service are to be sent to a subscriber
// with another digest, 0 for all of them. One that is new, or without any, gets all.
func (s *subscriber) changesSince(svc string, digest uint64, records int, now clock.Instant) clock.Instant {
	sent, known := s.sent[svc]
	if sent.differsSince == 0 {
		sent.differsSince = now
	}
	longest := fullSnapshotInterval + clock.Micros(records)*fullSnapshotPerRecord
	same := sent.changesAt > 0 && digest == sent.changesDigest
	if !known || digest == 0 || now.Sub(sent.differsSince) >= longest || same && now.Sub(sent.changesAt) >= renewPeriod {
		s.sent[svc] = sentRecords{answeredAt: now, differsSince: now}
		return 0
	}
	if !same {
		sent.changesAt, sent.changesDigest = now, digest
	}
	since := sent.answeredAt.Add(-snapshotOverlap)
	sent.answeredAt = now
	s.sent[svc] = sent
	return since
}

func (s subscriberTable) expire(now clock.Instant) {
	for name, sub := range s {
		if now > sub.expires {
			delete(s, name)
		}
	}
}

func (s subscriberTable) addrs() []string {
	var addrs []string
	for _, sub := range s {
		addrs = append(addrs, sub.addr)
	}
	return addrs
}
