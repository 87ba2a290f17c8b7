package ingress

import (
	"context"
	"net/http"
	"time"

	"rowanshunt/internal/config"
	"rowanshunt/internal/forward"
)

// submit passes a batch job on to the batch API. The request's time limit counts from its
// header on: reading the body is part of it.
func (i *Ingress) submit(w http.ResponseWriter, r *http.Request, configuration *config.Configuration, route *config.Route) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "batch jobs are submitted by POST", http.StatusMethodNotAllowed)
		return
	}
	leftMs, ok := forward.ReadTimeLeft(w, r, route)
	if !ok {
		return // already answered
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(leftMs)*time.Millisecond)
	defer cancel()
	r = r.WithContext(ctx)
	i.Batch.Submit(w, r, route, r.Header.Get(forward.HeaderRequestID), configuration.Caps.PayloadBytes, leftMs)
}
