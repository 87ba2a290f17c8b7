package ingress

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"rowanshunt/internal/trace"
)

// TraceCommand follows a change through all nodes.
type TraceCommand struct {
	Query trace.Query
	Kind  string // as the call names it, and as the reply repeats it
}

// Run asks all nodes, once a majority of the core has answered.
func (t *TraceCommand) Run(ctx context.Context, c *Control) (Reply, error) {
	if err := t.Query.Check(); err != nil {
		return Reply{}, err
	}
	if _, err := c.Register.Read(ctx); err != nil {
		return Reply{}, err
	}
	report, err := c.Trace.Follow(ctx, &t.Query)
	if err != nil {
		return Reply{}, err
	}
	report.Kind = t.Kind
	return replyJSON(report)
}

func decodeTrace(r *http.Request, params httprouter.Params) (Command, error) {
	kind := params.ByName("kind")
	query := trace.Query{Kind: trace.KindOf(kind), ID: params.ByName("id"), Host: r.URL.Query().Get("host")}
	return &TraceCommand{Query: query, Kind: kind}, nil
}
