package config

// Type is what a route's requests are.
type Type uint8

// The types of routes.
const (
	Safe   Type = iota // may run more than once
	Unsafe             // may run once
	Stream             // is answered by a stream of events; may run once, unless the route has Resume
	Bulk               // items of batch jobs
)

// typesByName are the types as documents name them.
var typesByName = map[string]Type{"safe": Safe, "unsafe": Unsafe, "stream": Stream, "bulk": Bulk}

// Route is one route of the configuration: which requests it takes, by host and
// prefix, to which services they go, and by which rules.
type Route struct {
	Name   string
	Host   string // as HostKey has it
	Prefix string // of the path; begins and ends with a slash
	Type   Type
	Split  []WeightedService

	LimitMs   int64 // that a request may be held
	GoalMs    int64 // latency target of the first byte or event, 0: none
	GapGoalMs int64 // longest gap between two events of a stream that is in time, 0: none
	Tries     int64 // workers that a request may be sent to, default 1
	Resume    bool  // another worker may go on with a broken stream; default no
	Pin       bool  // set on routes of prompts; decoded and not used
	Prio      int64 // rank, 0 is highest; decoded and not used

	// Of a bulk route.
	DueMs   int64   // by when a job is to be done
	RetainS float64 // seconds that a job is kept, may be a fraction; 0: ten times DueMs, a minute at least
	Backlog int64   // tokens that the open items may have, 0: no bound

	totalWeight int64 // of Split, above 0
}

// WeightedService is one service's part of a route.
type WeightedService struct {
	Service string
	Weight  int64 // relative to the others'; 0: gets no requests
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.Type == Safe || r.Type == Stream && r.Resume }

// Pick chooses a service by weight; draw is any number.
func (r *Route) Pick(draw uint64) string {
	left := int64(draw % uint64(r.totalWeight))
	for _, s := range r.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// SendsTo reports whether the route may send to that service.
func (r *Route) SendsTo(service string) bool {
	for _, s := range r.Split {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
