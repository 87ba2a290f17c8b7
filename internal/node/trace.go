package node

import (
	"context"
	"fmt"
	"strconv"

	"rowanshunt/internal/trace"
)

// The facts that a node contributes to a trace (design 14.2). Names of hops are JSON
// values of the operators' API.

// configurationFacts are what this node knows of a version of the configuration. The hop
// in_force tells what is applied here; clients are served by it once the initial read is done.
func (n *Node) configurationFacts(_ context.Context, query *trace.Query) []trace.Fact {
	version, err := strconv.ParseInt(query.ID, 10, 64)
	if err != nil {
		return nil
	}
	var facts []trace.Fact
	if accepted, votes := n.Register.AcceptedVersion(); votes {
		facts = append(facts, trace.Fact{Hop: "held", State: fmt.Sprintf("version %d on disk", accepted), Behind: accepted < version})
	}
	committed := int64(0)
	if state := n.Register.Committed(); state != nil {
		committed = state.Version
	}
	facts = append(facts, trace.Fact{Hop: "committed", State: fmt.Sprintf("version %d known", committed), Behind: committed < version})
	applied := int64(0)
	if configuration := n.configuration.Load(); configuration != nil {
		applied = configuration.Version
	}
	return append(facts, trace.Fact{Hop: "in_force", State: fmt.Sprintf("version %d", applied), AtUs: n.appliedUs.Load(), Behind: applied < version})
}

// acknowledgementFacts tell whether a version of the configuration was acknowledged here.
func (e *EdgeNode) acknowledgementFacts(_ context.Context, query *trace.Query) []trace.Fact {
	version, err := strconv.ParseInt(query.ID, 10, 64)
	if err != nil {
		return nil
	}
	if atUs := e.Control.AcknowledgedAt(version); atUs > 0 {
		return []trace.Fact{{Hop: "acknowledged", State: "here", AtUs: atUs}}
	}
	return nil
}

// workerFacts are what this node knows of a worker.
func (e *EdgeNode) workerFacts(ctx context.Context, query *trace.Query) []trace.Fact {
	worker, inUse := e.Discovery.Trace(ctx, query.ID)
	if worker == nil {
		return []trace.Fact{{Hop: "worker", State: "unknown", Behind: true}}
	}
	state := fmt.Sprintf("%s seq %d, last heartbeat %d ms ago", worker.Phase, worker.Seq, worker.Age.Milliseconds())
	mark := worker.Phase
	if worker.Gone {
		state, mark = "gone", "gone"
	}
	if inUse {
		state, mark = state+", in use", mark+" in use"
	}
	facts := []trace.Fact{{Hop: "worker", State: state, Mark: mark}}
	if e.Discovery.AggregatorFor(worker.Svc) == e.self.Name {
		facts = append(facts, trace.Fact{Hop: "home", State: "of " + worker.Svc + " in " + e.self.Az})
	}
	return facts
}

// inFlightFacts are the items of a batch job that this node's dispatcher runs.
func (e *EdgeNode) inFlightFacts(_ context.Context, query *trace.Query) []trace.Fact {
	if items := e.Dispatcher.InFlight(query.ID); items > 0 {
		return []trace.Fact{{Hop: "in_hand", State: fmt.Sprintf("%d items run here", items)}}
	}
	return nil
}

// jobFacts are what this store knows of a batch job.
func (sn *StoreNode) jobFacts(ctx context.Context, query *trace.Query) []trace.Fact {
	committed := sn.Register.Committed()
	replica := committed != nil && sn.BatchStore.HasReplica(committed, query.Host)
	job, err := sn.BatchStore.Trace(ctx, query.Host, query.ID)
	switch {
	case err != nil:
		return []trace.Fact{{Hop: "copy", State: "the store is busy", Behind: true}}
	case job == nil && replica:
		return []trace.Fact{{Hop: "copy", State: "none", Behind: true}}
	case job == nil:
		return nil
	}
	state := fmt.Sprintf("rev %d, %d of %d listed", job.Revision, job.Listed, job.Items)
	if job.Ended {
		state += ", ended"
	}
	mark := fmt.Sprintf("%d/%d/%d", job.Term.Membership, job.Term.Number, job.Revision)
	facts := []trace.Fact{{Hop: "copy", State: state, Mark: mark}}
	if job.Owner {
		facts = append(facts, trace.Fact{Hop: "owner", State: fmt.Sprintf("serves it, %d replicas in sync", job.Synced)})
	}
	return facts
}
