package quota

import (
	"context"
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/gossip"
)

// reportTimeout bounds a report: less than two report intervals, so that a slow
// leader does not hold up more than one.
const reportTimeout = 400 * time.Millisecond

// reportSchedule is when a service's next report is due.
type reportSchedule struct {
	due      clock.Instant
	inFlight bool // one report at a time
}

// reporter reports what this node's gate counts to the leaders of the services, and
// applies the grants that are their answers. All runs on the event loop.
type reporter struct {
	cfg *Config
	// ctx ends with the node; reports in flight end with it.
	ctx       context.Context
	schedules map[string]*reportSchedule // by service
}

func (r *reporter) schedule(service string) *reportSchedule {
	schedule := r.schedules[service]
	if schedule == nil {
		schedule = &reportSchedule{}
		r.schedules[service] = schedule
	}
	return schedule
}

// reportIfDue sends a service's report to its leader, unless it is not due, one is
// in flight, or the leader is not known.
func (r *reporter) reportIfDue(rules *Rules, service string, leader *gossip.NodeState, now clock.Instant) {
	schedule := r.schedule(service)
	if schedule.inFlight || now < schedule.due || leader == nil {
		return
	}
	schedule.inFlight, schedule.due = true, now.Add(reportInterval)
	request := &reportRequest{Node: r.cfg.Self.Name, Service: service, RulesVersion: rules.Version, Usages: r.cfg.Gate.Report(service)}
	address := leader.Addr
	// The goroutine ends with reportTimeout; there is one at a time for each service.
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, reportTimeout)
		defer cancel()
		grant := &Grant{}
		err := r.cfg.Transport.Call(ctx, address, reportKind, request, grant)
		// An error of Post means that the node shuts down.
		_ = r.cfg.Loop.Post(r.ctx, func() {
			schedule.inFlight = false
			if err == nil {
				r.applyGrant(request, grant, now)
			}
		})
	}()
}

// applyGrant puts the answer to a report in force. The grant's time counts from the
// moment the report was sent, which no clock of another node has a part in.
func (r *reporter) applyGrant(request *reportRequest, grant *Grant, sent clock.Instant) {
	r.cfg.Gate.Apply(request.Service, grant, sent)
	interval := max(grant.Interval, reportInterval)
	if len(request.Usages) == 0 && !grant.Contended {
		interval = max(interval, idleReportInterval)
	}
	r.schedule(request.Service).due = sent.Add(interval)
}
