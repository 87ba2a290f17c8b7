package ingress

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"rowanshunt/internal/consensus"
	"rowanshunt/internal/discovery"
	"rowanshunt/internal/events"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/quota"
	"rowanshunt/internal/trace"
	"rowanshunt/internal/upgrade"
)

// Command is one call of a worker or an operator, decoded; it is run apart from its
// decoding (design 11.4).
type Command interface {
	Run(ctx context.Context, c *Control) (Reply, error)
}

// Control is the API of workers and operators.
type Control struct {
	Register  *consensus.Register
	Discovery *discovery.Discovery
	Upgrades  *upgrade.Manager
	Quotas    *quota.Quotas
	Trace     *trace.Tracer
	Log       *logging.Log
	Emitter   *events.Emitter
	WallUs    func() int64 // wall clock, microseconds since 1970; only reported

	acknowledged acknowledgements
}

// AcknowledgedAt is the wall time, in microseconds since 1970, at which this node
// acknowledged a version of the configuration; 0 if it did not.
func (c *Control) AcknowledgedAt(version int64) int64 { return c.acknowledged.at(version) }

// Handler decodes calls into commands and runs them, each within its deadline.
func (c *Control) Handler() http.Handler {
	router := newRouter()
	for _, call := range ControlCalls() {
		router.Handle(call.Method, call.Path, func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
			reply, err := c.serve(&call, r, params)
			c.writeReply(w, r, reply, err)
		})
	}
	return router
}

// serve decodes and runs one call. Its deadline counts from when the body has been read.
func (c *Control) serve(call *ControlCall, r *http.Request, params httprouter.Params) (Reply, error) {
	command, err := call.decode(r, params)
	if err != nil {
		return Reply{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), call.timeout(r))
	defer cancel()
	return command.Run(ctx, c)
}
