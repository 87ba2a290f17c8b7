package batch

import "rowanshunt/internal/clock"

// reservationSpan is how long backlog is reserved for an offered job: its body follows in
// a call of its own, which takes no longer while it is of use.
const reservationSpan = clock.Second

// reservation is backlog reserved for a job whose body is on its way.
type reservation struct {
	route  string
	tokens int64
	until  clock.Instant
}

// reservations are an owner's, by job. Those whose time is over go when they are summed.
type reservations map[string]reservation

func (rs *reservations) add(route, jobID string, tokens int64, now clock.Instant) {
	if *rs == nil {
		*rs = reservations{}
	}
	(*rs)[jobID] = reservation{route, tokens, now.Add(reservationSpan)}
}

// tokens sums what is reserved for other jobs of a route.
func (rs reservations) tokens(route, jobID string, now clock.Instant) int64 {
	var sum int64
	for id, r := range rs {
		switch {
		case now > r.until:
			delete(rs, id)
		case id != jobID && r.route == route:
			sum += r.tokens
		}
	}
	return sum
}
