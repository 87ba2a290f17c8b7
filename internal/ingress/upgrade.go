package ingress

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"rowanshunt/internal/consensus"
	"rowanshunt/internal/events"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/upgrade"
)

// actionStart is the one action whose call has a body.
const actionStart = "start"

// UpgradeCommand is an operator's call about a model upgrade (design 13.4).
type UpgradeCommand struct {
	Order   consensus.RequestID
	Service string
	Action  string // start, pause, resume, undo
	To      int64  // the model version to start to
	Rules   upgrade.Rules
}

// Run carries the call out and returns the upgrade as it then is.
func (u *UpgradeCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	current, err := u.apply(ctx, c.Upgrades)
	if err != nil {
		return Reply{}, err
	}
	reply, err := replyJSON(current)
	if err != nil {
		return Reply{}, err
	}
	c.Emitter.Emit(events.UpgradeChanged, u.Service, events.UpgradeOrder{Act: u.Action, Phase: string(current.Phase), To: current.To})
	c.Log.Info("upgrade_ordered", "service", u.Service, "action", u.Action, "phase", current.Phase)
	return reply, nil
}

func (u *UpgradeCommand) apply(ctx context.Context, upgrades *upgrade.Manager) (*upgrade.Upgrade, error) {
	switch u.Action {
	case actionStart:
		return upgrades.Start(ctx, u.Order, u.Service, u.To, u.Rules)
	case "pause":
		return upgrades.Pause(ctx, u.Order, u.Service)
	case "resume":
		return upgrades.Resume(ctx, u.Order, u.Service)
	case "undo":
		return upgrades.Undo(ctx, u.Order, u.Service)
	}
	return nil, fault.New(fault.Unknown, u.Action, "is nothing an upgrade can do", "use start, pause, resume or undo")
}

func decodeUpgrade(r *http.Request, params httprouter.Params) (Command, error) {
	u := &UpgradeCommand{Service: params.ByName("svc"), Action: params.ByName("act"), Rules: upgrade.DefaultRules()}
	body, err := readBody(r, maxCommandBytes)
	if err != nil {
		return nil, err
	}
	if u.Order, err = orderID(r, body); err != nil {
		return nil, err
	}
	if u.Action != actionStart {
		return u, nil
	}
	document := struct {
		To    int64          `json:"to"`
		Rules *upgrade.Rules `json:"rules"`
	}{Rules: &u.Rules}
	if err := json.Unmarshal(body, &document); err != nil {
		return nil, fault.New(fault.Invalid, "upgrade", err.Error(), "send a JSON object with to and rules")
	}
	u.To = document.To
	return u, nil
}

// UpgradeStatusCommand reads an upgrade's status.
type UpgradeStatusCommand struct{ Service string }

// Run reads the register at a majority.
func (u *UpgradeStatusCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	state, err := c.Register.Read(ctx)
	if err != nil {
		return Reply{}, err
	}
	current, err := upgrade.Status(state, u.Service)
	if err != nil {
		return Reply{}, err
	}
	return replyJSON(current)
}

func decodeUpgradeStatus(_ *http.Request, params httprouter.Params) (Command, error) {
	return &UpgradeStatusCommand{Service: params.ByName("svc")}, nil
}
