package config

import (
	"strings"
	"testing"

	"rowanshunt/internal/fault"
)

const good = `{"ver":7,"routes":[
 {"name":"r1","host":"a.example","pfx":"/x/","type":"stream","limit_ms":6000,"goal_ms":200,"prio":0,"split":[{"svc":"s1","wt":90},{"svc":"s2","wt":10}],"tries":2,"pin":true,"resume":true,"gap_goal_ms":250,"later":{"a":[1]}},
 {"name":"r2","host":"a.example","pfx":"/x/y/","type":"safe","limit_ms":4000,"svc":"s1","tries":1},
 {"name":"r3","host":"A.example:80","pfx":"/","type":"bulk","limit_ms":4000,"svc":"s2","due_ms":8000,"retain_s":40.5,"backlog":1200000}],
 "svcs":[{"name":"s1","hc":"/healthz","maxconn":220,"engine":{"slots":24,"kv_toks":400843,"net_mbps":2200000.0}},{"name":"s2","maxconn":120,"engine":null}],
 "caps":{"hdr_bytes":16384,"payload_bytes":4194304,"hdr_ms":3000,"idle_ms":15000}}`

func TestParse(t *testing.T) {
	b, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if b.Ver != 7 || b.Caps.HdrBytes != 16384 || b.Services["s1"].Engine.Slots != 24 || b.Services["s2"].MaxConn != 120 {
		t.Errorf("read wrong: %+v", b)
	}
	r := b.Routes[0]
	if !r.Repeatable() || r.WtSum != 100 || r.GapGoalMs != 250 || !r.Takes("s2") || r.Takes("s3") {
		t.Errorf("route read wrong: %+v", r)
	}
	if b.Routes[2].RetainS != 40.5 || b.Routes[2].Backlog != 1200000 {
		t.Errorf("bulk route read wrong: %+v", b.Routes[2])
	}
}

func TestFind(t *testing.T) {
	b, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "r1"},
		{"a.example", "/x/y/1", "r2"},
		{"a.example", "/x/y", "r1"},
		{"a.example:8080", "/x/y/?q=/", "r2"},
		{"A.EXAMPLE", "/z", "r3"},
		{"a.example", "/q?/x/", "r3"},
		{"b.example", "/x/1", ""},
	} {
		got := ""
		if r := b.Find(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s %s: %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

// Every kind of invalid document the protocol lists, and some more (design 4.1).
func TestInvalid(t *testing.T) {
	swap := func(old, new string) string {
		if !strings.Contains(good, old) {
			t.Fatalf("the document has no %q", old)
		}
		return strings.Replace(good, old, new, 1)
	}
	for _, tc := range []struct{ name, doc, field string }{
		{"cut short", good[:len(good)/2], "configuration"},
		{"empty", "", "configuration"},
		{"no object", "[]", "configuration"},
		{"something behind it", good + "x", "configuration"},
		{"a second object", good + "{}", "configuration"},
		{"no version", swap(`"ver":7,`, ``), "ver"},
		{"version 0", swap(`"ver":7`, `"ver":0`), "ver"},
		{"a word for a number", swap(`"ver":7`, `"ver":"7x"`), "configuration"},
		{"no routes", `{"ver":1,"svcs":[]}`, "routes"},
		{"unknown service", swap(`"svc":"s2","due`, `"svc":"s9","due`), "routes.r3.svc"},
		{"same place", swap(`"pfx":"/x/y/"`, `"pfx":"/x/"`), "routes.r2"},
		{"same place, another case", swap(`"host":"a.example","pfx":"/x/y/"`, `"host":"A.example","pfx":"/x/"`), "routes.r2"},
		{"weights sum to 0", swap(`"wt":90},{"svc":"s2","wt":10}`, `"wt":0},{"svc":"s2","wt":0}`), "routes.r1.split"},
		{"a negative weight", swap(`"wt":10`, `"wt":-10`), "routes.r1.wt"},
		{"no time", swap(`"limit_ms":6000`, `"limit_ms":0`), "routes.r1.limit_ms"},
		{"a bulk route without time", swap(`"type":"bulk","limit_ms":4000`, `"type":"bulk","limit_ms":0`), "routes.r3.limit_ms"},
		{"a prefix without slash", swap(`"pfx":"/x/y/"`, `"pfx":"/x/y"`), "routes.r2.pfx"},
		{"unknown type", swap(`"type":"safe"`, `"type":"magic"`), "configuration"},
		{"a service twice", swap(`{"name":"s2","maxconn`, `{"name":"s1","maxconn`), "svcs.s1"},
		{"no service at all", swap(`"svc":"s1","tries":1`, `"tries":1`), "routes.r2.svc"},
	} {
		_, err := Parse([]byte(tc.doc))
		if !fault.Is(err, fault.Invalid) || !strings.Contains(err.Error(), tc.field) || !strings.Contains(err.Error(), "remedy") {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
	if _, err := Parse(make([]byte, MaxBytes+1)); !fault.Is(err, fault.TooLarge) {
		t.Errorf("too large: %v", err)
	}
}

func TestPickByWeight(t *testing.T) {
	b, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	n := map[string]int{}
	for i := range uint64(1000) {
		n[b.Routes[0].Pick(i)]++
	}
	if n["s1"] != 900 || n["s2"] != 100 {
		t.Errorf("weights 90 to 10 gave %v", n)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := Parse(raw)
		if err == nil && b.Ver <= 0 {
			t.Fatal("a document without version was taken")
		}
	})
}
