package ingress

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"rowanshunt/internal/discovery"
)

// HeartbeatCommand is a worker's heartbeat, or its sign-off (design 5).
type HeartbeatCommand struct{ Worker discovery.Worker }

// Run records the heartbeat and returns the address for the next ones, if there is one.
func (h *HeartbeatCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	aggregator, err := c.Discovery.Heartbeat(ctx, h.Worker)
	if err != nil {
		return Reply{}, err
	}
	if aggregator == "" || h.Worker.Gone {
		return emptyReply(), nil
	}
	return replyJSON(map[string]string{"beat_url": "http://" + aggregator + "/-/workers/" + h.Worker.ID})
}

func decodeHeartbeat(r *http.Request, params httprouter.Params) (Command, error) {
	body, err := readBody(r, maxCommandBytes)
	if err != nil {
		return nil, err
	}
	worker, err := discovery.ParseHeartbeat(params.ByName("id"), body)
	if err != nil {
		return nil, err
	}
	return &HeartbeatCommand{Worker: *worker}, nil
}

func decodeSignOff(_ *http.Request, params httprouter.Params) (Command, error) {
	return &HeartbeatCommand{Worker: discovery.Worker{ID: params.ByName("id"), Gone: true}}, nil
}
