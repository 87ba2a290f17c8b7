package register_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/register"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/upgrade"
)

// The workers of a service are all at one version, which the histories keep in
// the register, so that it follows from the value that an order is judged on.
const (
	firstVer         = 1
	workersKey       = "test/workers/"
	upgradesServices = `{"ver":1,"routes":[{"name":"a","host":"shop.example","pfx":"/a/","type":"safe","limit_ms":5,"svc":"llm"}],"svcs":[{"name":"llm","hc":"/h"},{"name":"tts","hc":"/h"}],"caps":{}}`
)

var services = []string{"llm", "tts"}

func workersOf(s *register.State, svc string) []discovery.Worker {
	ver := int64(firstVer)
	if raw := s.Extra[workersKey+svc]; raw != nil {
		ver, _ = strconv.ParseInt(string(raw), 10, 64)
	}
	return []discovery.Worker{
		{ID: "w1", Svc: svc, Phase: "up", Models: []discovery.Model{{Name: "m", Ver: ver}}},
		{ID: "w2", Svc: svc, Phase: "up", Models: []discovery.Model{{Name: "m", Ver: ver}}},
	}
}

// upgradeSeen is what a caller sees of an upgrade.
type upgradeSeen struct {
	phase    upgrade.Phase
	from, to int64
	undoing  bool
}

func seenOf(u *upgrade.Upgrade, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return upgradeSeen{u.Phase, u.From, u.To, u.Undoing}, nil
}

// upgradeOrder is an operator's order about an upgrade.
type upgradeOrder struct {
	id       register.OrderID
	svc, act string
	to       int64
	maxShare float64 // the rule in which starts differ
}

func (upgradeOrder) Reads() bool { return false }

func (o upgradeOrder) Shows() register.HistoryOp { return readUpgrade{o.svc} }

func (o upgradeOrder) Run(ctx context.Context, p *register.Proposer) (any, error) {
	var workers []discovery.Worker
	m := upgrade.New(ctx, upgrade.Config{
		Loop:  eventloop.NewLoop(1), // not run: what a driver does is drawn too
		Mux:   rpc.NewMux(),
		Known: func() []discovery.Worker { return workers },
		Change: func(ctx context.Context, change register.Change) (*register.State, error) {
			return p.Change(ctx, func(now *register.State) (*register.State, error) {
				workers = workersOf(now, o.svc)
				return change(now)
			})
		},
	})
	switch o.act {
	case "start":
		rules := upgrade.DefaultRules()
		rules.MaxShare = o.maxShare
		return seenOf(m.Start(ctx, o.id.OfCall(), o.svc, o.to, rules))
	case "pause":
		return seenOf(m.Pause(ctx, o.id.OfCall(), o.svc))
	case "resume":
		return seenOf(m.Resume(ctx, o.id.OfCall(), o.svc))
	}
	return seenOf(m.Undo(ctx, o.id.OfCall(), o.svc))
}

// upgradeEnds is the last step of a driver: all workers are at the version.
type upgradeEnds struct{ svc string }

func (upgradeEnds) Reads() bool { return false }

func (o upgradeEnds) Run(ctx context.Context, p *register.Proposer) (any, error) {
	_, err := p.Change(ctx, register.NewOrderID().Once(func(now *register.State) (*register.State, error) {
		u := upgrade.Load(now, o.svc)
		if u == nil || u.Phase != upgrade.Running {
			return nil, nil
		}
		u.Step([]upgrade.Seen{{ID: "w1", Ver: u.To, Up: true}, {ID: "w2", Ver: u.To, Up: true}}, nil, upgrade.Health{}, 1)
		raw, err := codec.Marshal(u)
		now.SetExtra("moult/"+o.svc, raw)
		now.SetExtra(workersKey+o.svc, []byte(strconv.FormatInt(u.To, 10)))
		return now, err
	}))
	return nil, err
}

// readUpgrade asks how an upgrade stands.
type readUpgrade struct{ svc string }

func (readUpgrade) Reads() bool { return true }

func (r readUpgrade) Run(ctx context.Context, p *register.Proposer) (any, error) {
	s, err := p.Read(ctx)
	if err != nil {
		return nil, err
	}
	return seenOf(upgrade.Status(s, r.svc))
}

// upgradeModel is the sequential model of one service: its upgrade, if any,
// and the version of its workers.
type upgradeModel struct {
	upgradeSeen
	maxShare float64
	workers  int64
}

func (m upgradeModel) open() bool { return m.phase == upgrade.Running || m.phase == upgrade.Paused }

// take is the answer to an order that is taken, or changes nothing.
func (m upgradeModel) take() (upgradeModel, register.HistoryAnswer) {
	return m, register.Acknowledged(nil)
}

func (m upgradeModel) refuse(kind fault.Kind) (upgradeModel, register.HistoryAnswer) {
	return m, register.RefusedAs(kind)
}

func (m upgradeModel) start(o upgradeOrder) (upgradeModel, register.HistoryAnswer) {
	switch {
	case m.open():
		return m.refuse(fault.Conflict) // under way
	case m.phase == upgrade.Done && m.to == o.to && m.maxShare == o.maxShare:
		return m.take() // the very one, at its end
	case m.workers == o.to:
		return m.refuse(fault.Conflict)
	}
	m.upgradeSeen = upgradeSeen{upgrade.Running, m.workers, o.to, false}
	m.maxShare = o.maxShare
	return m.take()
}

func (m upgradeModel) order(o upgradeOrder) (upgradeModel, register.HistoryAnswer) {
	switch {
	case o.act == "start":
		return m.start(o)
	case m.phase == "":
		return m.refuse(fault.Unknown)
	case o.act == "undo" && m.undoing && m.open():
		return m.refuse(fault.Conflict) // under way
	case o.act == "undo" && m.phase != upgrade.Undone:
		m.from, m.to, m.undoing, m.phase = m.to, m.from, true, upgrade.Running
	case o.act == "pause" && m.open():
		m.phase = upgrade.Paused
	case o.act == "resume" && m.open():
		m.phase = upgrade.Running
	}
	return m.take()
}

func (m upgradeModel) apply(in register.HistoryOp) (upgradeModel, register.HistoryAnswer) {
	switch op := in.(type) {
	case upgradeOrder:
		return m.order(op)
	case upgradeEnds:
		if m.phase == upgrade.Running {
			m.phase, m.workers = upgrade.Done, m.to
			if m.undoing {
				m.phase = upgrade.Undone
			}
		}
		return m.take()
	}
	if m.phase == "" {
		return m.refuse(fault.Unknown)
	}
	return m, register.Acknowledged(m.upgradeSeen)
}

// drawUpgradeCall draws an order, or the end of an upgrade.
func drawUpgradeCall(t *rapid.T, call *register.HistoryCall) {
	svc := rapid.SampledFrom(services).Draw(t, "service")
	act := rapid.SampledFrom([]string{"start", "start", "pause", "resume", "undo", "end"}).Draw(t, "act")
	order := upgradeOrder{svc: svc, act: act}
	if act == "start" {
		order.to = rapid.Int64Range(1, 3).Draw(t, "to")
		order.maxShare = rapid.SampledFrom([]float64{0.2, 0.3}).Draw(t, "share")
	}
	order.id = register.DrawOrderID(t, order)
	call.Op = func(*register.State) register.HistoryOp {
		if act == "end" {
			return upgradeEnds{svc}
		}
		return order
	}
	call.Once = act == "end"
	call.Check = readUpgrade{svc}
}

func serviceOf(in register.HistoryOp) int {
	svc := ""
	switch op := in.(type) {
	case upgradeOrder:
		svc = op.svc
	case upgradeEnds:
		svc = op.svc
	case readUpgrade:
		svc = op.svc
	}
	for i, name := range services {
		if name == svc {
			return i
		}
	}
	panic(fmt.Sprintf("%T", in))
}

// Histories of orders about upgrades are linearizable: each order is taken once
// at most, and answered as the upgrade stands, or as under way (design 13.4).
func TestUpgradeHistories(t *testing.T) {
	first := &register.State{Ver: 1, Doc: []byte(upgradesServices)}
	idOf := func(op register.HistoryOp) register.OrderID {
		order, _ := op.(upgradeOrder)
		return order.id
	}
	apply := register.ApplyOnce(upgradeModel.apply, idOf)
	register.CheckHistories(t, 100, 50, first, func(rt *rapid.T) *register.HistoryScript {
		script := register.DrawHistory(rt, 8, 20, drawUpgradeCall)
		script.Final = []register.HistoryOp{readUpgrade{"llm"}, readUpgrade{"tts"}}
		return script
	}, register.SequentialModel(register.OnceModel[upgradeModel]{Now: upgradeModel{workers: firstVer}}, apply, len(services), serviceOf))
}
