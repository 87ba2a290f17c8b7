package ingress

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
)

// RetireCommand orders that a store be emptied.
type RetireCommand struct {
	Order consensus.RequestID
	Node  string
}

// Run commits the order in the register.
func (r *RetireCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	if err := c.Register.Retire(ctx, r.Order, r.Node); err != nil {
		return Reply{}, err
	}
	c.Log.Info("retirement_committed", "node", r.Node)
	return emptyReply(), nil
}

func decodeRetire(r *http.Request, params httprouter.Params) (Command, error) {
	body, err := readBody(r, maxCommandBytes)
	if err != nil {
		return nil, err
	}
	// over_s is checked, because it is part of the API, but it is not used.
	var document struct {
		OverS float64 `json:"over_s"`
	}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &document); err != nil || document.OverS < 0 {
			return nil, fault.New(fault.Invalid, "over_s", "cannot be read", "send a JSON object with over_s in seconds")
		}
	}
	order, err := orderID(r, body)
	if err != nil {
		return nil, err
	}
	return &RetireCommand{Order: order, Node: params.ByName("node")}, nil
}

// RetirementStatusCommand reads whether a store has been emptied.
type RetirementStatusCommand struct{ Node string }

// Run reads the register at a majority.
func (r *RetirementStatusCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	done, err := c.Register.IsRetired(ctx, r.Node)
	if err != nil {
		return Reply{}, err
	}
	phase := "serving"
	if done {
		phase = "done"
	}
	return replyJSON(map[string]string{"phase": phase})
}

func decodeRetirementStatus(_ *http.Request, params httprouter.Params) (Command, error) {
	return &RetirementStatusCommand{Node: params.ByName("node")}, nil
}
