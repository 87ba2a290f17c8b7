package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"tracer": func() { os.Exit(run(os.Args[1:])) }})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			srv := httptest.NewServer(http.HandlerFunc(standIn))
			env.Defer(srv.Close)
			env.Setenv("NODE", strings.TrimPrefix(srv.URL, "http://"))
			return nil
		},
	})
}

// standIn answers as a node does.
func standIn(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/traces/configuration/7":
		_, _ = w.Write([]byte(`{"kind":"configuration","id":"7","complete":true,"missing":null,"nodes":[{"node":"edge-1","role":"forager","az":"a","facts":[{"hop":"in_force","state":"version 7","at_us":1764633600000000}]}]}`))
	case "/-/traces/lot/l%2F1", "/-/traces/lot/l/1":
		if r.URL.Query().Get("host") != "a.example" {
			http.Error(w, "no host", http.StatusBadRequest)
			return
		}
		_, _ = w.Write([]byte(`{"kind":"lot","id":"l/1","complete":false,"missing":["store-2: silent"],"nodes":[{"node":"store-1","role":"comb","az":"a","facts":[{"hop":"copy","state":"rev 3"}]},{"node":"store-2","role":"comb","az":"b","silent":true,"facts":null}]}`))
	default:
		http.Error(w, `{"err":"unknown"}`, http.StatusNotFound)
	}
}
