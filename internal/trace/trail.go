// Package trace answers where one change is, by asking every node (design 14).
// It keeps nothing and does nothing while nobody asks. The field's standard
// terms: trail = trace; fact = span; teller = trace source.
package trace

import (
	"context"
	"sort"
	"sync"
	"time"

	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/rpc"
)

// The kinds of changes that can be followed.
const (
	Blueprint = "blueprint"
	Worker    = "worker"
	Lot       = "lot"
)

// Ask names the change.
type Ask struct {
	Kind string
	ID   string
	Host string // of a lot
}

// Fact is one thing that a node says of the change.
type Fact struct {
	Hop    string `json:"hop"`   // acknowledged, held, committed, in_force, home, owner, ...
	State  string `json:"state"` // what it is there
	AtUs   int64  `json:"at_us,omitempty"`
	Behind bool   `json:"behind,omitempty"` // the change is not here though it should be
	// Mark is compared between nodes: where marks of one hop differ, the
	// change is not everywhere yet.
	Mark string `json:"mark,omitempty"`
}

// Word is one node's answer.
type Word struct {
	Node   string `json:"node"`
	Role   string `json:"role"`
	Az     string `json:"az"`
	Silent bool   `json:"silent,omitempty"`
	Facts  []Fact `json:"facts"`
}

// Report is what all nodes said.
type Report struct {
	Kind     string   `json:"kind"`
	ID       string   `json:"id"`
	Complete bool     `json:"complete"`
	Missing  []string `json:"missing"`
	Words    []Word   `json:"nodes"`
}

// Teller says what a node knows of a change.
type Teller func(ctx context.Context, a *Ask) []Fact

// Trail is one node's part.
type Trail struct {
	mesh    rpc.Mesh
	swarm   *gossip.Swarm
	self    gossip.Partner
	mu      sync.Mutex
	tellers map[string][]Teller
}

// New joins the desk.
func New(desk *rpc.Desk, mesh rpc.Mesh, sw *gossip.Swarm, self gossip.Partner) *Trail {
	t := &Trail{mesh: mesh, swarm: sw, self: self, tellers: map[string][]Teller{}}
	rpc.On(desk, "trail.tell", func(ctx context.Context, a *Ask) (*Word, error) {
		if err := a.Check(); err != nil {
			return nil, err
		}
		return t.tell(ctx, a), nil
	})
	return t
}

func known(kind string) bool { return kind == Blueprint || kind == Worker || kind == Lot }

// Check tells whether that kind of change can be followed.
func (a *Ask) Check() error {
	if !known(a.Kind) {
		return fault.New(fault.Invalid, "kind", "cannot be followed", "ask for a blueprint, a worker or a lot")
	}
	return nil
}

// On adds a teller for a kind.
func (t *Trail) On(kind string, fn Teller) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tellers[kind] = append(t.tellers[kind], fn)
}

func (t *Trail) tell(ctx context.Context, a *Ask) *Word {
	t.mu.Lock()
	fns := t.tellers[a.Kind]
	t.mu.Unlock()
	w := &Word{Node: t.self.Name, Role: t.self.Role, Az: t.self.Az}
	for _, fn := range fns {
		w.Facts = append(w.Facts, fn(ctx, a)...)
	}
	return w
}

const tellTimeout = 700 * time.Millisecond

// Follow asks every node in view, living or silent.
func (t *Trail) Follow(ctx context.Context, a *Ask) (*Report, error) {
	if err := a.Check(); err != nil {
		return nil, err
	}
	v := t.swarm.Look()
	out := &Report{Kind: a.Kind, ID: a.ID, Words: make([]Word, len(v.All))}
	var wg sync.WaitGroup
	for i, p := range v.All {
		wg.Go(func() {
			w := &Word{}
			if p.Name == t.self.Name {
				w = t.tell(ctx, a)
			} else {
				callCtx, cancel := context.WithTimeout(ctx, tellTimeout)
				defer cancel()
				if err := t.mesh.Call(callCtx, p.Addr, "trail.tell", a, w); err != nil {
					w = &Word{Node: p.Name, Role: p.Role, Az: p.Az, Silent: true}
				}
			}
			out.Words[i] = *w
		})
	}
	wg.Wait()
	out.judge()
	return out, nil
}

// judge says what is missing: silent nodes, nodes behind, and hops on which
// nodes differ.
func (r *Report) judge() {
	marks := map[string]map[string]bool{}
	facts := 0
	for _, w := range r.Words {
		if w.Silent {
			r.Missing = append(r.Missing, w.Node+": silent")
		}
		for _, f := range w.Facts {
			facts++
			if f.Behind {
				r.Missing = append(r.Missing, w.Node+": "+f.Hop+": "+f.State)
			}
			if f.Mark != "" {
				if marks[f.Hop] == nil {
					marks[f.Hop] = map[string]bool{}
				}
				marks[f.Hop][f.Mark] = true
			}
		}
	}
	for hop, m := range marks {
		if len(m) > 1 {
			r.Missing = append(r.Missing, hop+": the nodes differ")
		}
	}
	if facts == 0 {
		r.Missing = append(r.Missing, "no node knows it")
	}
	sort.Strings(r.Missing)
	r.Complete = len(r.Missing) == 0
}
