package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rowanshunt": func() { os.Exit(run(os.Args[1:])) }})
}

// The command line as a user types it.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			srv := httptest.NewServer(standIn())
			env.Defer(srv.Close)
			env.Setenv("NODE", strings.TrimPrefix(srv.URL, "http://"))
			return nil
		},
	})
}

// standIn is a node's upgrade interface, for the client's side of it.
func standIn() http.Handler {
	const now = `{"service":"llm","from":1,"to":2,"phase":"%s","wave":3,"driver":"edge-1/5","out":[{"id":"w1","addr":"10.9.0.1:80","idle":true},{"id":"w2","addr":"10.9.0.2:80","gone":true},{"id":"w3","addr":"10.9.0.3:80"}],"why":"%s","remedy":"%s"}`
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/upgrades/llm/start", func(w http.ResponseWriter, r *http.Request) {
		raw := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(raw)
		if !strings.Contains(string(raw), `"to":2`) || !strings.Contains(string(raw), `"min_replicas":3`) || !strings.Contains(string(raw), `"wave_ms":60000`) {
			http.Error(w, string(raw), http.StatusBadRequest)
			return
		}
		fmt.Fprintf(w, now, "running", "", "")
	})
	// An undo is taken, but its first answer is lost: only its resend, known by
	// its key, is acknowledged.
	lost := ""
	mux.HandleFunc("POST /-/upgrades/llm/undo", func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		switch {
		case key == "":
			http.Error(w, "no key", http.StatusBadRequest)
		case lost == "":
			lost = key
			http.Error(w, `{"err":"unsure: no majority in time"}`, http.StatusBadGateway)
		case key != lost:
			w.WriteHeader(http.StatusConflict)
			fmt.Fprint(w, `{"err":"conflict: llm: is being undone already"}`)
		default:
			fmt.Fprintf(w, now, "running", "", "")
		}
	})
	mux.HandleFunc("GET /-/upgrades/llm", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, now, "paused", "wave 3 is not back", "replace the workers")
	})
	mux.HandleFunc("GET /-/quotas", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"ver":2,"tenants":{"books":{"hosts":["shop.example"]}},"shares":{"llm":{"books":{"weight":2}}}}`)
	})
	mux.HandleFunc("PUT /-/quotas", func(w http.ResponseWriter, r *http.Request) {
		raw := make([]byte, r.ContentLength)
		_, _ = r.Body.Read(raw)
		if r.Header.Get("If-Match") != "2" {
			w.WriteHeader(http.StatusPreconditionFailed)
			fmt.Fprint(w, `{"err":"stale: If-Match: version 2 is in place (remedy: read the quotas and build on their version)"}`)
			return
		}
		if !strings.Contains(string(raw), `"books":{"kv_percent":60,"slots_percent":50}`) {
			http.Error(w, string(raw), http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, "{}")
	})
	mux.HandleFunc("GET /-/quotas/books", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `[{"service":"llm","tenant":"books","slots_percent":50,"kv_percent":60,"cap_percent":80,"live_slots":4,"batch_slots":9,"kv_tokens":1200,"fleet_slots":20,"fleet_kv_tokens":4000,"may_slots":12.5,"may_kv_tokens":2400,"borrowed_slots":3,"bounded":true,"waiting":true,"why":"over its guarantee"}]`)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, `{"err":"unknown: other: is no service of the configuration (remedy: name a service under svcs)"}`)
	})
	return mux
}
