package discovery

import (
	"slices"
	"testing"

	"rowanshunt/internal/clock"
)

func TestSubscriptionsExpire(t *testing.T) {
	now := clock.Now()
	s := subscriberTable{}
	s.renew("n", "10.0.0.1:1", now)
	s.renew("m", "10.0.0.2:1", now.Add(1))
	s.expire(now.Add(subscriptionTTL))
	if len(s) != 2 {
		t.Error("a subscription expired too early")
	}
	s.expire(now.Add(subscriptionTTL + 1))
	if got := s.addrs(); !slices.Equal(got, []string{"10.0.0.2:1"}) {
		t.Errorf("subscribers: %v", got)
	}
}
