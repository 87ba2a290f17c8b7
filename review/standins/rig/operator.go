package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Route is a route of the configuration.
type Route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"pfx"`
	Type      string  `json:"type"`
	LimitMs   int     `json:"limit_ms"`
	GoalMs    int     `json:"goal_ms"`
	Prio      int     `json:"prio"`
	Service   string  `json:"svc"`
	Tries     int     `json:"tries"`
	Pin       bool    `json:"pin,omitempty"`
	Resume    bool    `json:"resume,omitempty"`
	GapGoalMs int     `json:"gap_goal_ms,omitempty"`
	DueMs     int     `json:"due_ms,omitempty"`
	RetainS   float64 `json:"retain_s,omitempty"`
	Backlog   int     `json:"backlog,omitempty"`
}

// Service is a service of the configuration.
type Service struct {
	Name    string `json:"name"`
	Health  string `json:"hc"`
	MaxConn int    `json:"maxconn"`
	Proto   string `json:"proto"`
	TLS     bool   `json:"tls"`
}

// Configuration is one version.
type Configuration struct {
	Version  int            `json:"ver"`
	Routes   []Route        `json:"routes"`
	Services []Service      `json:"svcs"`
	Caps     map[string]int `json:"caps"`
}

// Caps are those of a small deployment.
func Caps() map[string]int {
	return map[string]int{"hdr_bytes": 16384, "payload_bytes": 4194304, "hdr_ms": 3000, "idle_ms": 15000}
}

// Call makes one call with a fresh connection; status 0 is no answer.
func Call(method, url string, header map[string]string, body []byte, timeout time.Duration) (status int, answer []byte, got http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	for name, value := range header {
		if name == "Host" {
			request.Host = value
		} else {
			request.Header.Set(name, value)
		}
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, answer, nil
	}
	return response.StatusCode, answer, response.Header
}

// PutConfiguration sends a configuration to one node after the other until it is
// acknowledged.
func (c *Cluster) PutConfiguration(conf *Configuration, base int, within time.Duration) error {
	body, err := json.Marshal(conf)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		n := c.Edges[i%len(c.Edges)]
		status, answer, _ := Call("PUT", "http://"+n.Ctl()+"/-/config", map[string]string{"If-Match": fmt.Sprint(base), "Content-Type": "application/json"}, body, time.Second)
		c.record.Logf("PUT /-/config ver %d on %d at %s: %d", conf.Version, base, n.Name, status)
		if status == 200 {
			return nil
		}
		if status >= 400 && status < 500 && status != 408 && status != 429 {
			return fmt.Errorf("configuration refused: %d %s", status, answer)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("configuration %d is not acknowledged", conf.Version)
}

// AwaitReady waits until all edge nodes say that they are ready.
func (c *Cluster) AwaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		ready := 0
		for _, n := range c.Edges {
			if status, _, _ := Call("GET", "http://"+n.Ready()+"/-/readyz", nil, nil, time.Second); status == 200 {
				ready++
			}
		}
		if ready == len(c.Edges) {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("not all edge nodes are ready")
}
