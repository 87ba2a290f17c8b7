// Package ingress is the entry point of a node: its listeners and their limits, readiness,
// draining, the submission of batch jobs and the control API of workers and operators
// (design 11).
package ingress

import (
	"net/http"
	"sync/atomic"

	"github.com/julienschmidt/httprouter"

	"rowanshunt/internal/batch/httpapi"
	"rowanshunt/internal/config"
	"rowanshunt/internal/forward"
	"rowanshunt/internal/logging"
)

// Ingress serves the address for clients of one node.
type Ingress struct {
	Forwarder *forward.Forwarder
	Batch     *httpapi.API
	// Configuration gives the configuration served, nil until this process has read the
	// register at a majority (node.servedConfiguration), also where one is applied already.
	Configuration func() *config.Configuration
	Log           *logging.Log
	Limits        Limits
	// Ready tells whether this node may serve traffic (design 11.1).
	Ready func() bool
	// Draining is set once, when the node begins to shut down (design 11.3).
	Draining atomic.Bool
}

// Clients is the handler of the address for clients. Only the calls about batch jobs are
// routed by httprouter; all other paths are routed by the configuration, unchanged.
func (i *Ingress) Clients() http.Handler {
	router := newRouter()
	router.GET("/-/lots/:id", i.Batch.Read)
	router.DELETE("/-/lots/:id", i.Batch.Cancel)
	router.GET("/-/items/:id", i.Batch.Body)
	router.NotFound = http.HandlerFunc(i.serveConfigured)
	return Chain(router, i.closeWhileDraining(), i.recoverPanics(), i.enforceCaps())
}

// newRouter is a router that never redirects and answers 405 for other methods.
func newRouter() *httprouter.Router {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = true
	return router
}

// serveConfigured submits a batch job where the route in force is of that type, and
// forwards all other requests.
func (i *Ingress) serveConfigured(w http.ResponseWriter, r *http.Request) {
	if configuration := i.Configuration(); configuration != nil {
		if route := configuration.Find(r.Host, r.RequestURI); route != nil && route.Type == config.Bulk {
			i.submit(w, r, configuration, route)
			return
		}
	}
	i.Forwarder.ServeHTTP(w, r)
}
