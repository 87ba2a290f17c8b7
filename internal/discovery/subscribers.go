package discovery

import "rowanshunt/internal/clock"

// subscriptionTTL outlasts four renewals that are lost in a row.
const subscriptionTTL = 2_500 * clock.Millisecond

// subscriberTable holds the nodes that subscribed at this one. It does no I/O and
// belongs to the event loop.
type subscriberTable map[string]*subscriber // by node

type subscriber struct {
	addr    string
	expires clock.Instant
	sent    map[string]*serviceProgress // by service
}

// renew renews a node's subscription, and returns it.
func (s subscriberTable) renew(name, addr string, now clock.Instant) *subscriber {
	sub := s[name]
	if sub == nil {
		sub = &subscriber{sent: map[string]*serviceProgress{}}
		s[name] = sub
	}
	sub.addr, sub.expires = addr, now.Add(subscriptionTTL)
	return sub
}

// progressOf is how far the subscriber is with a service.
func (s *subscriber) progressOf(svc string) *serviceProgress {
	progress := s.sent[svc]
	if progress == nil {
		progress = &serviceProgress{}
		s.sent[svc] = progress
	}
	return progress
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
