package node

import (
	"context"

	"rowanshunt/internal/batch"
	"rowanshunt/internal/clock"
	"rowanshunt/internal/settings"
	"rowanshunt/internal/trace"
)

// StoreNode is a node that keeps batch jobs.
type StoreNode struct {
	*Node
	BatchStore *batch.Store
}

// NewStoreNode makes a node of the role store.
func NewStoreNode(ctx context.Context, env Env, opts *settings.Options) (*StoreNode, error) {
	n, err := New(ctx, env, opts, settings.RoleStore)
	if err != nil {
		return nil, err
	}
	store, err := batch.Open(ctx, batch.Config{
		Loop:        n.Loop,
		Mux:         n.Mux,
		Transport:   env.Transport,
		Gossip:      n.Gossip,
		Log:         env.Log,
		Self:        n.self,
		Member:      n.self.MemberID(),
		Dir:         opts.DataDir,
		DiskBytes:   opts.Caps.DiskMb << 20,
		MemoryBytes: opts.Caps.RAMMb << 20,
		PollSpan:    clock.Micros(opts.Bounds.PollS * 1e6),
		SyncSpan:    clock.Micros(opts.Bounds.SyncS * 1e6),
		State:       n.Register.Committed,
		Change:      n.Register.Change,
		LostMembers: n.Register.LostMembers,
		MaxFailures: opts.Ft.Nodes,
		Fatal:       func(err error) { n.failures <- err },
		Options:     batch.Defaults(),
	})
	if err != nil {
		return nil, err
	}
	sn := &StoreNode{Node: n, BatchStore: store}
	n.Trace.Handle(trace.BatchJob, sn.jobFacts)
	return sn, nil
}
