package upgrade

import (
	"context"
	"sort"
	"sync"
	"time"

	"rowanshunt/internal/discovery"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
)

// surveyKind is the kind of the call with which a driver asks a node what it sees.
// The value is from the first version: nodes of the version before answer to it.
const surveyKind = "moult.tell"

// surveyTimeout bounds the call to one node: less than stepInterval, so that one node
// that does not answer does not hold up the steps.
const surveyTimeout = 400 * time.Millisecond

// surveyRequest asks what a node sees of a service.
type surveyRequest struct {
	Service string
}

// surveyResponse is what one node sees of a service. Its fields travel in this order.
type surveyResponse struct {
	Groups []PrefixGroup
	Health Health
	Busy   []string // workers at which something of this node runs
}

// answerSurvey answers from this node's balancer. Any goroutine may call it.
func (m *Manager) answerSurvey(service string) *surveyResponse {
	response := &surveyResponse{Busy: m.cfg.Balancer.Busy()}
	outcomes := m.cfg.Balancer.Outcomes.Recent(service)
	response.Health = Health{Answers: outcomes.Responses, Late: outcomes.Late, Failed: outcomes.Failed}
	for _, group := range m.cfg.Balancer.PrefixGroups(service) {
		response.Groups = append(response.Groups, PrefixGroup{ID: group.ID, RecentRequests: group.RecentRequests, Replicas: group.Holders})
	}
	return response
}

// survey adds up what the nodes see. Its lock guards everything below it: each node's
// answer is added by a goroutine of its own.
type survey struct {
	service string
	asked   int // set before the goroutines start to answer

	mu       sync.Mutex
	answered int
	busy     map[string]bool
	groups   map[string]*PrefixGroup
	health   Health
}

func newSurvey(service string) *survey {
	return &survey{service: service, busy: map[string]bool{}, groups: map[string]*PrefixGroup{}}
}

func (s *survey) add(response *surveyResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered++
	for _, id := range response.Busy {
		s.busy[id] = true
	}
	s.health = s.health.plus(response.Health)
	for _, group := range response.Groups {
		total := s.groups[group.ID]
		if total == nil {
			total = &PrefixGroup{ID: group.ID}
			s.groups[group.ID] = total
		}
		total.RecentRequests += group.RecentRequests
		total.Replicas = append(total.Replicas, group.Replicas...)
	}
}

// observation is what the survey found of the registered workers, once all answers
// are in. A worker counts as idle only if every node answered that it is.
func (s *survey) observation(workers []discovery.Worker) Observation {
	observed := Observation{Health: s.health}
	for i := range workers {
		worker := &workers[i]
		if worker.Svc != s.service || worker.Gone {
			continue
		}
		observed.Workers = append(observed.Workers, WorkerState{
			ID: worker.ID, Addr: worker.Addr, Version: weightsVersion(worker), Up: worker.Up(),
			Busy: s.busy[worker.ID] || s.answered < s.asked,
		})
	}
	for _, group := range s.groups {
		observed.Groups = append(observed.Groups, *group)
	}
	sort.Slice(observed.Workers, func(i, j int) bool { return observed.Workers[i].ID < observed.Workers[j].ID })
	sort.Slice(observed.Groups, func(i, j int) bool { return observed.Groups[i].ID < observed.Groups[j].ID })
	return observed
}

// observe asks every living edge node; more than half must answer, or nothing is
// decided (design 13.3).
func (m *Manager) observe(ctx context.Context, service string) (Observation, error) {
	view := m.cfg.Gossip.Snapshot()
	s := newSurvey(service)
	var edges []*gossip.NodeState
	for i := range view.Nodes {
		if node := &view.Nodes[i]; node.Alive && node.Role == m.cfg.Self.Role {
			edges = append(edges, node)
		}
	}
	s.asked = len(edges)
	var wg sync.WaitGroup
	for _, node := range edges {
		wg.Go(func() {
			if response := m.ask(ctx, node, service); response != nil {
				s.add(response)
			}
		})
	}
	wg.Wait()
	if 2*s.answered <= s.asked {
		return Observation{}, fault.New(fault.Unsure, service, "too few edge nodes answer", "nothing is changed until they do")
	}
	return s.observation(m.cfg.Workers()), nil
}

// ask asks one node, nil if it does not answer in time.
func (m *Manager) ask(ctx context.Context, node *gossip.NodeState, service string) *surveyResponse {
	if node.Name == m.cfg.Self.Name {
		return m.answerSurvey(service)
	}
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	response := &surveyResponse{}
	if err := m.cfg.Transport.Call(ctx, node.Addr, surveyKind, &surveyRequest{Service: service}, response); err != nil {
		return nil
	}
	return response
}

// weightsVersion is the highest version of the weights that a worker has.
func weightsVersion(worker *discovery.Worker) int64 {
	var version int64
	for _, model := range worker.Models {
		version = max(version, model.Ver)
	}
	return version
}
