package ingress

import "net/http"

// Readyz is the handler of the platform's health checks: 200 while this node is ready and
// not draining, else 503 (design 11.1, 11.3).
func (i *Ingress) Readyz() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/readyz" {
			http.NotFound(w, r)
			return
		}
		if i.Draining.Load() || !i.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}
