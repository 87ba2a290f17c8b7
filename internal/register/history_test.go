package register

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"rowanshunt/internal/fault"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/simnet"
)

// historyScript is a drawn run: orders of two operators, up to eight under way,
// through any node, and what goes wrong meanwhile.
type historyScript struct {
	seed   uint64
	orders []scriptedOrder
	faults []scriptedFault
}

type scriptedOrder struct {
	atMs   int
	quota  bool // a quota document, else a configuration
	order  Order
	doc    string
	nodes  []int // the first call and the resends
	again  int   // ms between them
	follow bool  // builds on the version its node shows, not on order.Base
	lost   bool  // the answer to the first call is lost
}

type scriptedFault struct {
	atMs, forMs, node int
	kill              bool // else cut off
}

func drawScript(t *rapid.T) *historyScript {
	s := &historyScript{seed: rapid.Uint64Range(1, 1<<20).Draw(t, "seed")}
	for range rapid.IntRange(6, 16).Draw(t, "orders") {
		o := scriptedOrder{
			atMs:   rapid.IntRange(0, 1500).Draw(t, "at"),
			quota:  rapid.IntRange(0, 3).Draw(t, "quota") == 0,
			nodes:  rapid.SliceOfN(rapid.IntRange(0, 2), 1, 3).Draw(t, "nodes"),
			again:  rapid.IntRange(0, 900).Draw(t, "again"),
			follow: rapid.Bool().Draw(t, "follow"),
			lost:   rapid.Bool().Draw(t, "lost"),
		}
		base := int64(rapid.IntRange(0, 5).Draw(t, "base"))
		o.doc = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "doc")
		o.order = NewOrder(base+int64(rapid.IntRange(1, 2).Draw(t, "above")), base, []byte(o.doc))
		s.orders = append(s.orders, o)
	}
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		s.faults = append(s.faults, scriptedFault{
			atMs:  rapid.IntRange(0, 2000).Draw(t, "fault at"),
			forMs: rapid.IntRange(50, 900).Draw(t, "for"),
			node:  rapid.IntRange(0, 2).Draw(t, "node"),
			kill:  rapid.Bool().Draw(t, "kill"),
		})
	}
	return s
}

// historyNode is a node whose acceptor outlives it, as a disk does.
type historyNode struct {
	site
	acceptor *Acceptor
	ctx      context.Context
}

// registerInput and registerOutput are an operation of the sequential model.
type registerInput struct {
	quota bool
	read  bool
	order Order
}

type registerOutput struct {
	outcome outcome
	ver     int64 // read
	digest  Digest
}

// registerState is the sequential model: orders taken, each on the one before,
// and orders refused.
type registerState struct {
	taken, refused []Order
}

func (s registerState) ver() int64 {
	if len(s.taken) == 0 {
		return 0
	}
	return s.taken[len(s.taken)-1].Ver
}

// inForce tells whether the very document is the one in force, whatever base
// the order names.
func (s registerState) inForce(o Order) bool {
	return len(s.taken) > 0 && s.taken[len(s.taken)-1].Ver == o.Ver && s.taken[len(s.taken)-1].Digest == o.Digest
}

func (s registerState) mayTake(o Order) bool {
	return s.ver() == o.Base && o.Ver > o.Base && !slices.Contains(s.refused, o)
}

func (s registerState) take(o Order) registerState {
	// What was refused and builds on less than the new one can't be taken anyway.
	open := slices.DeleteFunc(slices.Clone(s.refused), func(r Order) bool { return r.Base < o.Ver })
	return registerState{append(slices.Clone(s.taken), o), open}
}

// refuse keeps the set in order, so that equal sets are equal slices.
func (s registerState) refuse(o Order) registerState {
	if o.Base < s.ver() || o.Ver <= o.Base {
		return s
	}
	at, there := slices.BinarySearchFunc(s.refused, o, compareOrders)
	if there {
		return s
	}
	return registerState{s.taken, slices.Insert(slices.Clone(s.refused), at, o)}
}

func compareOrders(a, b Order) int {
	return cmp.Or(cmp.Compare(a.Base, b.Base), cmp.Compare(a.Ver, b.Ver), cmp.Compare(a.Digest.Hi, b.Digest.Hi), cmp.Compare(a.Digest.Lo, b.Digest.Lo))
}

func stepRegister(state registerState, in registerInput, out registerOutput) (bool, registerState) {
	known := slices.Contains(state.taken, in.order) || state.inForce(in.order)
	switch {
	case in.read:
		last := Order{}
		if len(state.taken) > 0 {
			last = state.taken[len(state.taken)-1]
		}
		return last.Ver == out.ver && last.Digest == out.digest, state
	case out.outcome == acknowledged && known:
		return true, state
	case out.outcome == acknowledged:
		return state.mayTake(in.order), state.take(in.order)
	case out.outcome == refused && (known || state.mayTake(in.order)):
		return false, state
	case !known && !state.mayTake(in.order):
		// A refusal, also one whose answer was lost.
		return true, state.refuse(in.order)
	case known || out.outcome == declined:
		return true, state
	}
	return true, state.take(in.order) // unsure
}

func registerModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, 2)
			for _, op := range history {
				kind := 0
				if op.Input.(registerInput).quota {
					kind = 1
				}
				parts[kind] = append(parts[kind], op)
			}
			return parts
		},
		Init: func() any { return registerState{} },
		Step: func(state, in, out any) (bool, any) {
			return stepRegister(state.(registerState), in.(registerInput), out.(registerOutput))
		},
		Equal: func(a, b any) bool {
			x, y := a.(registerState), b.(registerState)
			return slices.Equal(x.taken, y.taken) && slices.Equal(x.refused, y.refused)
		},
		DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
	}
}

const quotaDocKey = "test/quotas"

// quotaInForce reads the version and the document of the quotas.
func quotaInForce(s *State) (int64, string) {
	raw := string(s.Extra[quotaDocKey])
	if raw == "" {
		return 0, ""
	}
	ver, err := strconv.ParseInt(raw[1:], 10, 64)
	if err != nil {
		panic(err)
	}
	return ver, raw[:1]
}

func changeOf(quota bool, order Order, doc string) Change {
	if !quota {
		return PutChange([]byte(doc), order.Ver, order.Base)
	}
	return func(now *State) (*State, error) {
		ver, inForce := quotaInForce(now)
		if ver == order.Ver && inForce == doc {
			return nil, nil
		}
		return QuotaOrders.ApplyOrder(now, ver, order, func(now *State) error {
			now.SetExtra(quotaDocKey, []byte(doc+strconv.FormatInt(order.Ver, 10)))
			return nil
		})
	}
}

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return acknowledged
	case fault.Is(err, fault.Stale), fault.Is(err, fault.Invalid):
		return refused
	case fault.Is(err, fault.Refused):
		return declined
	}
	return unsure
}

// historyRun plays a script and records what the operators saw.
type historyRun struct {
	m     *simnet.Network
	nodes []*historyNode
	began time.Time

	mu      sync.Mutex
	history []porcupine.Operation
}

func (h *historyRun) start(n *historyNode, first *State) {
	mux := rpc.NewMux()
	rpc.On(mux, "nest.prepare", n.acceptor.Prepare)
	rpc.On(mux, "nest.accept", n.acceptor.Accept)
	ctx, cancel := context.WithCancel(context.Background())
	h.m.Place(ctx, n.addr, mux)
	h.mu.Lock()
	defer h.mu.Unlock()
	n.life++
	n.mu.Lock()
	n.known, n.committed = first, false
	if s := n.acceptor.State(); s != nil {
		n.known = s
	}
	n.mu.Unlock()
	n.ctx, n.cancel = ctx, cancel
	n.p = NewProposer(fmt.Sprintf("%s/%d", n.addr, n.life), h.m.TransportOf(n.addr), func(t Member) string { return t.Addr }, n.Known, n.learn)
}

// call runs one call at a node and records it.
func (h *historyRun) call(client, node int, in registerInput, doc string, lost bool) {
	h.mu.Lock()
	proposer, life := h.nodes[node].p, h.nodes[node].ctx
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(life, 1200*time.Millisecond)
	defer cancel()
	began := time.Since(h.began).Nanoseconds()
	out := registerOutput{}
	var state *State
	var err error
	if in.read {
		if state, err = proposer.Read(ctx); err != nil {
			return
		}
		out.outcome = acknowledged
		if in.quota {
			var doc string
			if out.ver, doc = quotaInForce(state); out.ver > 0 {
				out.digest = NewOrder(0, 0, []byte(doc)).Digest
			}
		} else if out.ver = state.Ver; out.ver > 0 {
			out.digest = NewOrder(0, 0, state.Doc).Digest
		}
	} else {
		_, err = proposer.Change(ctx, changeOf(in.quota, in.order, doc))
		out.outcome = outcomeOf(err)
	}
	ended := time.Since(h.began).Nanoseconds()
	if lost || life.Err() != nil {
		out.outcome = unsure // whatever it was
	}
	if out.outcome == unsure || out.outcome == declined {
		ended = int64(time.Hour) // it may come into force, or be refused, at any time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.history = append(h.history, porcupine.Operation{ClientId: client, Input: in, Call: began, Output: out, Return: ended})
}

func (h *historyRun) order(client int, o scriptedOrder) {
	time.Sleep(time.Duration(o.atMs) * time.Millisecond)
	in := registerInput{quota: o.quota, order: o.order}
	if known, _ := h.nodes[o.nodes[0]].Known(); o.follow {
		base := known.Ver
		if o.quota {
			base, _ = quotaInForce(known)
		}
		in.order = NewOrder(base+o.order.Ver-o.order.Base, base, []byte(o.doc))
	}
	for i, node := range o.nodes {
		// Calls of one order may overlap: a late answer is no bar to a resend.
		h.call(client*10+i, node, in, o.doc, o.lost && i == 0)
		time.Sleep(time.Duration(o.again) * time.Millisecond)
	}
	h.call(client*10+9, o.nodes[0], registerInput{quota: o.quota, read: true}, "", false)
}

func (h *historyRun) fault(f scriptedFault, first *State) {
	time.Sleep(time.Duration(f.atMs) * time.Millisecond)
	n := h.nodes[f.node]
	if f.kill {
		h.mu.Lock()
		cancel := n.cancel
		h.mu.Unlock()
		cancel() // its calls die between the rounds
		time.Sleep(time.Duration(f.forMs) * time.Millisecond)
		h.start(n, first)
		return
	}
	all := []string{"n0", "n1", "n2"}
	h.m.CutOff(n.addr, all, true)
	time.Sleep(time.Duration(f.forMs) * time.Millisecond)
	h.m.CutOff(n.addr, all, false)
}

func playHistory(script *historyScript) []porcupine.Operation {
	m := simnet.New(script.seed)
	m.Slow(30_000)
	m.Disturb(0.04, 0.1)
	h := &historyRun{m: m, began: time.Now()}
	first := &State{Rev: 1, Core: Membership{Ver: 1}}
	for i := range 3 {
		n := &historyNode{acceptor: newAcceptor(fmt.Sprint("m", i), vote{}, memoryStore{})}
		n.m, n.addr = m, fmt.Sprint("n", i)
		h.nodes = append(h.nodes, n)
		first.Core.Cur = append(first.Core.Cur, Member{ID: n.acceptor.ID(), Name: n.addr, Addr: n.addr})
	}
	for _, n := range h.nodes {
		h.start(n, first)
	}
	var wg sync.WaitGroup
	underWay := make(chan struct{}, 8)
	for i, o := range script.orders {
		wg.Go(func() {
			underWay <- struct{}{}
			h.order(i, o)
			<-underWay
		})
	}
	for _, f := range script.faults {
		wg.Go(func() { h.fault(f, first) })
	}
	wg.Wait()
	for range 20 {
		h.call(9999, 0, registerInput{read: true}, "", false)
		h.call(9998, 1, registerInput{read: true, quota: true}, "", false)
	}
	for _, n := range h.nodes {
		n.cancel()
	}
	time.Sleep(3 * time.Second)
	return h.history
}

// Histories of orders are linearizable against the sequential model, whatever
// is lost, doubled, late or sent again (design 4.2).
func TestOrderHistories(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "19", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
		}
	}
	counts := [len(outcomeNames)]int{}
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		var history []porcupine.Operation
		synctest.Test(t, func(*testing.T) { history = playHistory(script) })
		for _, op := range history {
			if !op.Input.(registerInput).read {
				counts[op.Output.(registerOutput).outcome]++
			}
		}
		if result := porcupine.CheckOperationsTimeout(registerModel(), history, 20*time.Second); result != porcupine.Ok {
			slices.SortFunc(history, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
			for _, op := range history {
				t.Logf("%8.3f to %8.3f ms: %+v -> %+v", float64(op.Call)/1e6, float64(op.Return)/1e6, op.Input, op.Output)
			}
			rt.Fatalf("the history is %s", result)
		}
	})
	t.Logf("%d orders acknowledged, %d refused, %d unsure", counts[acknowledged], counts[refused], counts[unsure])
	if counts[acknowledged] < 50 || counts[refused] < 50 || counts[unsure] < 50 {
		t.Error("the histories test too little")
	}
}
