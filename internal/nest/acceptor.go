package nest

import (
	"context"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/cell"
	"rowanshunt/internal/codec"
	"rowanshunt/internal/wax"
)

// vote is what a seat remembers, on disk before it answers.
type vote struct {
	Promised Ballot
	Accepted Ballot
	State    *State
}

// keeper stores votes durably.
type keeper interface {
	keep(v vote, whole bool) error
}

// memory keeps nothing: founding seats hold office in their first life only
// (design 4.3).
type memory struct{}

func (memory) keep(vote, bool) error { return nil }

// Acceptor is one seat's vote. Its rules: a promise is never broken, and what
// is answered is on disk first.
type Acceptor struct {
	mu   sync.Mutex
	id   string
	v    vote
	disk keeper
}

// LogName is the file that holds a member's vote and its identity.
const LogName = "register.cell"

// rewriteBytes, beside some documents, is how long the file gets before it is
// written anew.
const rewriteBytes = 4 << 20

// OpenAcceptor reads the vote that the seat left on disk.
func OpenAcceptor(id, dir string, log *wax.Log, options ...cell.Option) (*Acceptor, error) {
	a := &Acceptor{id: id}
	c, damage, err := cell.Open(dir, LogName, a.replay, options...)
	if err != nil {
		return nil, err
	}
	if damage != nil {
		log.Warn("cell_tail_cut", "cell", "register", "at", damage.AtByte, "bytes", damage.CutBytes, "why", damage.Why)
	}
	a.disk = &cellKeeper{c: c, longBytes: rewriteBytes}
	return a, nil
}

// replay takes one record of the file.
func (a *Acceptor) replay(rec []byte) error {
	var v vote
	if err := msgpack.Unmarshal(rec, &v); err != nil {
		return err
	}
	if v.State == nil {
		v.State = a.v.State // a promise alone leaves the accepted state
	}
	a.v = v
	return nil
}

// NewFoundingAcceptor makes the seat that a seed holds in its first life.
func NewFoundingAcceptor(id string) *Acceptor { return &Acceptor{id: id, disk: memory{}} }

type cellKeeper struct {
	c         *cell.Cell
	longBytes int64
}

func (k *cellKeeper) keep(v vote, whole bool) error {
	if k.c.SizeBytes() > k.longBytes+4*int64(docLen(v.State)) {
		rec, err := codec.Marshal(&v)
		if err != nil {
			return err
		}
		got := make(chan error, 1)
		k.c.Rewrite(func(err error) { got <- err }, cell.Records(rec))
		if err := <-got; err == nil {
			return nil
		}
		// No room for a second file: the first one goes on while it can.
		return k.c.Write(rec)
	}
	if !whole {
		v.State = nil
	}
	rec, err := codec.Marshal(&v)
	if err != nil {
		return err
	}
	return k.c.Write(rec)
}

func docLen(s *State) int {
	if s == nil {
		return 0
	}
	return len(s.Doc)
}

// Close ends the seat's writing.
func (a *Acceptor) Close() {
	if k, ok := a.disk.(*cellKeeper); ok {
		k.c.Close()
	}
}

// ID is the seat's identity.
func (a *Acceptor) ID() string { return a.id }

// State is what the seat last accepted, nil if nothing.
func (a *Acceptor) State() *State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.v.State
}

type prepareCall struct {
	Seat   string
	Ballot Ballot
	Peek   bool
}

type prepareAnswer struct {
	OK       bool
	Promised Ballot
	Accepted Ballot
	State    *State
}

type acceptCall struct {
	Seat   string
	Ballot Ballot
	State  *State
}

type acceptAnswer struct {
	OK       bool
	Promised Ballot
}

func (a *Acceptor) mine(seat string) error {
	if seat != a.id {
		return wax.New(wax.Unknown, "seat", "this node holds another seat", "read the roster again")
	}
	return nil
}

// Prepare promises not to accept lower ballots; with Peek it only looks.
func (a *Acceptor) Prepare(_ context.Context, in *prepareCall) (*prepareAnswer, error) {
	if err := a.mine(in.Seat); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !in.Peek {
		if in.Ballot.Less(a.v.Promised) {
			return &prepareAnswer{Promised: a.v.Promised}, nil
		}
		v := a.v
		v.Promised = in.Ballot
		if err := a.disk.keep(v, false); err != nil {
			return nil, err
		}
		a.v = v
	}
	return &prepareAnswer{OK: true, Promised: a.v.Promised, Accepted: a.v.Accepted, State: a.v.State}, nil
}

// Accept takes a state unless a higher ballot was promised.
func (a *Acceptor) Accept(_ context.Context, in *acceptCall) (*acceptAnswer, error) {
	if err := a.mine(in.Seat); err != nil {
		return nil, err
	}
	if in.State == nil {
		return nil, wax.New(wax.Invalid, "state", "is missing", "run the same version on all nodes")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.Ballot.Less(a.v.Promised) {
		return &acceptAnswer{Promised: a.v.Promised}, nil
	}
	v := vote{Promised: in.Ballot, Accepted: in.Ballot, State: in.State}
	if err := a.disk.keep(v, true); err != nil {
		return nil, err
	}
	a.v = v
	return &acceptAnswer{OK: true, Promised: in.Ballot}, nil
}
