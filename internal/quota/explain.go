package quota

import (
	"context"
	"fmt"
	"strings"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
)

// explainRequest asks the leader of a service how a tenant stands there.
type explainRequest struct {
	Service string
	Tenant  string
}

type explainResponse struct {
	Statuses []TenantStatus
}

// handleExplain answers from the leader's last computation, on the event loop.
func (l *leaders) handleExplain(ctx context.Context, request *explainRequest) (*explainResponse, error) {
	response, err := eventloop.Call(ctx, l.cfg.Loop, func() *explainResponse {
		leader := l.byService[request.Service]
		if leader == nil {
			return nil
		}
		response := &explainResponse{}
		for _, status := range leader.statuses {
			if status.Tenant == request.Tenant {
				response.Statuses = append(response.Statuses, status)
			}
		}
		return response
	})
	if err == nil && response == nil {
		err = fault.New(fault.NotOwner, request.Service, "this node does not lead the service's quotas", "ask again")
	}
	return response, err
}

// Explain reports how a tenant stands at every service where it has a share, as the
// services' leaders have it. Any node answers.
func (q *Quotas) Explain(ctx context.Context, tenant string) ([]TenantStatus, error) {
	rules := q.cfg.Gate.Rules()
	if rules == nil {
		return nil, fault.New(fault.Unknown, "quotas", "none are set", "set some with rowanshunt quota set")
	}
	if !rules.HasTenant(tenant) {
		return nil, fault.New(fault.Unknown, tenant, "is no tenant", "name one of the document, or "+Others)
	}
	view := q.cfg.Gossip.Snapshot()
	services := rules.Services()
	var statuses []TenantStatus
	var leaderless []string
	for _, service := range services {
		guarantee, ok := rules.Guarantee(service, tenant)
		if !ok {
			continue // there it is one of the others
		}
		answered := q.askLeader(ctx, view, service, tenant)
		if len(answered) == 0 {
			leaderless = append(leaderless, service)
			status := guaranteeStatus(service, tenant, guarantee)
			status.Why = whyNoLeader
			answered = []TenantStatus{status}
		}
		statuses = append(statuses, answered...)
	}
	if len(leaderless) > 0 {
		q.cfg.Log.Debug("quota_leader_unreachable", "services", strings.Join(leaderless, " "))
	}
	if len(statuses) == 0 {
		return nil, fault.New(fault.Unknown, tenant, fmt.Sprintf("has no share of its own at any of %d services", len(services)), "see "+Others)
	}
	return statuses, nil
}

// askLeader asks a service's leader how a tenant stands, nil if no leader answers.
func (q *Quotas) askLeader(ctx context.Context, view *gossip.View, service, tenant string) []TenantStatus {
	leader := view.Get(designatedLeader(view, q.cfg.Self.Role, service))
	if leader == nil {
		return nil
	}
	response := &explainResponse{}
	request := &explainRequest{Service: service, Tenant: tenant}
	if err := q.cfg.Transport.Call(ctx, leader.Addr, explainKind, request, response); err != nil {
		return nil
	}
	return response.Statuses
}
