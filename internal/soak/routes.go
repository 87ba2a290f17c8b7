package soak

import (
	"encoding/json"
	"fmt"

	"rowanshunt/internal/config"
)

// host is that of all routes.
const host = "shop.example"

// The services: one serves streams and batch jobs, the other single responses. The moved
// route goes to the one or the other.
const (
	streamService = "language"
	singleService = "stock"
)

// routeSpec is a route that all configurations have.
type routeSpec struct {
	kind  RouteKind
	tries int
}

// clientRoutes are the routes for requests; a route's prefix is its kind.
var clientRoutes = []routeSpec{{Resumable, 2}, {Streaming, 1}, {Safe, 2}, {Unsafe, 2}}

// movedPrefix is the route whose service changes with the configuration, batchPrefix that of jobs.
const (
	movedPrefix = "/moved/"
	batchPrefix = "/batch/"
)

func (r routeSpec) prefix() string { return "/" + string(r.kind) + "/" }

// routeDocument is a route as the operators' API takes it.
type routeDocument struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"pfx"`
	Type      string  `json:"type"`
	LimitMs   int     `json:"limit_ms"`
	GoalMs    int     `json:"goal_ms"`
	Priority  int     `json:"prio"`
	Service   string  `json:"svc"`
	Tries     int     `json:"tries"`
	Resume    bool    `json:"resume,omitempty"`
	GapGoalMs int     `json:"gap_goal_ms,omitempty"`
	DueMs     int     `json:"due_ms,omitempty"`
	RetainS   float64 `json:"retain_s,omitempty"`
}

type serviceDocument struct {
	Name     string `json:"name"`
	Health   string `json:"hc"`
	MaxConn  int    `json:"maxconn"`
	Protocol string `json:"proto"`
	TLS      bool   `json:"tls"`
}

// configDocument is a whole configuration.
type configDocument struct {
	Version  int64             `json:"ver"`
	Routes   []routeDocument   `json:"routes"`
	Services []serviceDocument `json:"svcs"`
	Caps     map[string]int    `json:"caps"`
}

// newConfigDocument is a configuration with a marker route, which no other one has, and
// the moved route at a service.
func newConfigDocument(version int64, marker, movedTo string) ([]byte, error) {
	document := configDocument{
		Version: version,
		Services: []serviceDocument{
			{Name: streamService, Health: "/healthz", MaxConn: 320, Protocol: "h1"},
			{Name: singleService, Health: "/healthz", MaxConn: 320, Protocol: "h1"},
		},
		Caps: map[string]int{"hdr_bytes": 16384, "payload_bytes": 4 << 20, "hdr_ms": 3000, "idle_ms": 15000},
	}
	for _, spec := range clientRoutes {
		route := routeDocument{Name: string(spec.kind), Prefix: spec.prefix(), Type: string(spec.kind), Service: singleService, Tries: spec.tries}
		if spec.kind.Streams() {
			route.Type, route.Service, route.Resume, route.GapGoalMs = "stream", streamService, spec.kind == Resumable, gapMs
		}
		document.Routes = append(document.Routes, route)
	}
	document.Routes = append(document.Routes,
		routeDocument{Name: "moved", Prefix: movedPrefix, Type: string(Safe), Service: movedTo, Tries: 2},
		routeDocument{Name: "batch", Prefix: batchPrefix, Type: "bulk", Service: streamService, Tries: 3, DueMs: 8000, RetainS: 100},
		routeDocument{Name: marker, Prefix: "/" + marker + "/", Type: string(Safe), Service: singleService, Tries: 1})
	for i := range document.Routes {
		document.Routes[i].Host, document.Routes[i].LimitMs, document.Routes[i].GoalMs = host, limitMs, goalMs
	}
	return json.Marshal(document)
}

// markerOf is the name of the marker route of a change.
func markerOf(operator, number int) string { return fmt.Sprintf("change-%d-%d", operator, number) }

// readMarker finds the version and the marker in a configuration that was read.
func readMarker(body []byte) (version int64, marker string, err error) {
	parsed, err := config.Parse(body)
	if err != nil {
		return 0, "", err
	}
	for i := range parsed.Routes {
		if name := parsed.Routes[i].Name; len(name) > 7 && name[:7] == "change-" {
			marker = name
		}
	}
	return parsed.Version, marker, nil
}
