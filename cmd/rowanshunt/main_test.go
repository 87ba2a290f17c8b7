package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"rowanshunt": func() { os.Exit(start()) }})
}

// The command line as a user types it.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			srv := httptest.NewServer(newFakeNode())
			env.Defer(srv.Close)
			env.Setenv("NODE", strings.TrimPrefix(srv.URL, "http://"))
			return nil
		},
	})
}

// fakeNode answers as a node's control address does, for the client's side of it.
type fakeNode struct {
	undoKey string // of the undo whose first response was lost
}

func newFakeNode() http.Handler {
	n := &fakeNode{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/upgrades/llm/start", n.startUpgrade)
	mux.HandleFunc("POST /-/upgrades/llm/undo", n.undoUpgrade)
	mux.HandleFunc("GET /-/upgrades/llm", func(w http.ResponseWriter, _ *http.Request) {
		writeUpgrade(w, "paused", "wave 3 is not back", "replace the workers")
	})
	mux.HandleFunc("GET /-/quotas", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"ver":2,"tenants":{"books":{"hosts":["shop.example"]}},"shares":{"llm":{"books":{"weight":2}}}}`)
	})
	mux.HandleFunc("PUT /-/quotas", n.putQuotas)
	mux.HandleFunc("GET /-/quotas/books", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `[{"service":"llm","tenant":"books","slots_percent":50,"kv_percent":60,"cap_percent":80,"live_slots":4,"batch_slots":9,"kv_tokens":1200,"fleet_slots":20,"fleet_kv_tokens":4000,"may_slots":12.5,"may_kv_tokens":2400,"borrowed_slots":3,"bounded":true,"waiting":true,"why":"over its guarantee"}]`)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, `{"err":"unknown: other: is no service of the configuration (remedy: name a service under svcs)"}`)
	})
	return mux
}

func writeUpgrade(w io.Writer, phase, why, remedy string) {
	fmt.Fprintf(w, `{"service":"llm","from":1,"to":2,"phase":"%s","wave":3,"driver":"edge-1/5","out":[{"id":"w1","addr":"10.9.0.1:80","idle":true},{"id":"w2","addr":"10.9.0.2:80","gone":true},{"id":"w3","addr":"10.9.0.3:80"}],"why":"%s","remedy":"%s"}`,
		phase, why, remedy)
}

// readAll reads the body of a request, or answers 400 to it.
func readAll(w http.ResponseWriter, r *http.Request) (body string, ok bool) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return "", false
	}
	return string(raw), true
}

func (n *fakeNode) startUpgrade(w http.ResponseWriter, r *http.Request) {
	body, ok := readAll(w, r)
	if !ok {
		return
	}
	if !strings.Contains(body, `"to":2`) || !strings.Contains(body, `"min_replicas":3`) || !strings.Contains(body, `"wave_ms":60000`) {
		http.Error(w, body, http.StatusBadRequest)
		return
	}
	writeUpgrade(w, "running", "", "")
}

// undoUpgrade carries an undo out, but its first response is lost: only the request
// sent again with the same key is acknowledged.
func (n *fakeNode) undoUpgrade(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	switch {
	case key == "":
		http.Error(w, "no key", http.StatusBadRequest)
	case n.undoKey == "":
		n.undoKey = key
		http.Error(w, `{"err":"unsure: no majority in time"}`, http.StatusBadGateway)
	case key != n.undoKey:
		w.WriteHeader(http.StatusConflict)
		fmt.Fprint(w, `{"err":"conflict: llm: is being undone already"}`)
	default:
		writeUpgrade(w, "running", "", "")
	}
}

func (n *fakeNode) putQuotas(w http.ResponseWriter, r *http.Request) {
	body, ok := readAll(w, r)
	if !ok {
		return
	}
	if r.Header.Get("If-Match") != "2" {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprint(w, `{"err":"stale: If-Match: version 2 is in place (remedy: read the quotas and build on their version)"}`)
		return
	}
	if !strings.Contains(body, `"books":{"kv_percent":60,"slots_percent":50}`) {
		http.Error(w, body, http.StatusBadRequest)
		return
	}
	fmt.Fprint(w, "{}")
}
