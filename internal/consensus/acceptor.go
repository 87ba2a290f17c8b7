package consensus

import (
	"context"
	"sync"
	"sync/atomic"

	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/wal"
)

// Acceptor drives one member's acceptorCore. It guarantees that a promise is never
// broken and that whatever is answered is on disk first. All methods may be called
// from any goroutine.
type Acceptor struct {
	mu    sync.Mutex // held from a decision until its write is durable
	core  acceptorCore
	store voteStore
	// published is a copy of what is on disk for readers, which must not wait for mu:
	// a disk may stall for long.
	published atomic.Pointer[vote]
}

// OpenAcceptor opens the acceptor with the vote that it left on disk.
func OpenAcceptor(id, dir string, log *logging.Log, options ...wal.Option) (*Acceptor, error) {
	durable, store, err := openVoteLog(dir, log, options...)
	if err != nil {
		return nil, err
	}
	return newAcceptor(id, durable, store), nil
}

// NewBootstrapAcceptor makes the acceptor that a seed holds in its first
// incarnation; its vote stays in memory.
func NewBootstrapAcceptor(id string) *Acceptor { return newAcceptor(id, vote{}, memoryStore{}) }

func newAcceptor(id string, durable vote, store voteStore) *Acceptor {
	a := &Acceptor{core: acceptorCore{id: id, durable: durable}, store: store}
	a.published.Store(&durable)
	return a
}

// Close closes the acceptor's log.
func (a *Acceptor) Close() {
	if store, ok := a.store.(*diskStore); ok {
		store.log.Close()
	}
}

// ID is the member's identity.
func (a *Acceptor) ID() string { return a.core.id }

// State is what the acceptor last accepted, nil if nothing. It does not wait for a
// write in progress.
func (a *Acceptor) State() *State {
	return a.published.Load().State
}

// acceptedRevision is the revision that the acceptor holds durably, 0 if none.
func (a *Acceptor) acceptedRevision() uint64 {
	if s := a.State(); s != nil {
		return s.Revision
	}
	return 0
}

type prepareRequest struct {
	Member   string
	Ballot   Ballot
	ReadOnly bool // asks for the durable vote and no promise
}

type prepareResponse struct {
	OK       bool
	Promised Ballot
	Accepted Ballot
	State    *State
}

type acceptRequest struct {
	Member string
	Ballot Ballot
	State  *State
}

type acceptResponse struct {
	OK       bool
	Promised Ballot
}

// Prepare promises not to accept lower ballots. A read-only request promises
// nothing and does not wait for a write in progress.
func (a *Acceptor) Prepare(_ context.Context, in *prepareRequest) (*prepareResponse, error) {
	if err := a.core.checkMember(in.Member); err != nil {
		return nil, err
	}
	if in.ReadOnly {
		return positiveResponse(a.published.Load()), nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	write, response := a.core.prepare(in)
	if err := a.perform(write); err != nil {
		return nil, err
	}
	return response, nil
}

// Accept accepts a state unless a higher ballot was promised.
func (a *Acceptor) Accept(_ context.Context, in *acceptRequest) (*acceptResponse, error) {
	if err := a.core.checkMember(in.Member); err != nil {
		return nil, err
	}
	if in.State == nil {
		return nil, errNoState
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	write, response := a.core.accept(in)
	if err := a.perform(write); err != nil {
		return nil, err
	}
	return response, nil
}

// perform makes a write durable, if there is one. a.mu must be held.
func (a *Acceptor) perform(write *diskWrite) error {
	if write == nil {
		return nil
	}
	if err := a.store.save(write.vote, write.withState); err != nil {
		return err
	}
	a.core.written(write)
	durable := a.core.durable
	a.published.Store(&durable)
	return nil
}

// handleRounds answers the prepare and accept calls of one register. The acceptor
// is nil at a node that has none.
func handleRounds(mux *rpc.Mux, a *Acceptor, kinds roundKinds) {
	rpc.Handle(mux, kinds.prepare, func(ctx context.Context, in *prepareRequest) (*prepareResponse, error) {
		if a == nil {
			return nil, errNoAcceptor
		}
		return a.Prepare(ctx, in)
	})
	rpc.Handle(mux, kinds.accept, func(ctx context.Context, in *acceptRequest) (*acceptResponse, error) {
		if a == nil {
			return nil, errNoAcceptor
		}
		return a.Accept(ctx, in)
	})
}
