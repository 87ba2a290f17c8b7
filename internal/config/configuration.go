// Package config is the configuration of the operator: it decodes a document,
// validates all of it and answers which route a request takes (design 4.1).
package config

import "strings"

// Configuration is one version of the operator's configuration, validated and ready
// for look-ups. It never changes after Parse, so any goroutine may read it.
type Configuration struct {
	Version  int64 // counted from 1 by the operator
	Routes   []*Route
	Services map[string]*Service
	Caps     Caps

	byHost map[string][]*Route // by HostKey, longest prefix first
}

// Service is a group of workers.
type Service struct {
	Name       string
	HealthPath string  // the path that a worker's health check asks for
	MaxConn    int64   // connections that one worker accepts from all callers; 0: package forward's default
	Engine     *Engine // nil: its workers run no model
}

// Engine is what the operator says of a service's model servers.
type Engine struct {
	Slots  int64 // requests that one server runs in a batch
	KvToks int64 // tokens that its KV cache holds, of running requests and kept prefixes
	Stride int64 // decoded, for its type is checked, and not used
}

// Caps bound what clients may send.
type Caps struct {
	HdrBytes     int64 // of a request's header; default 16 KiB
	PayloadBytes int64 // of a request's body; default 4 MiB
	HdrMs        int64 // for a request's header to arrive; default 3 s
	IdleMs       int64 // that a client's connection may be idle; default 15 s
}

// defaultCaps bound clients where the document says nothing else.
func defaultCaps() Caps {
	return Caps{HdrBytes: 16 << 10, PayloadBytes: 4 << 20, HdrMs: 3000, IdleMs: 15000}
}

// HostKey is the form of a Host header by which routes are found: without its port,
// in lower case.
func HostKey(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Find returns the host's route with the longest prefix of the path, nil if there
// is none.
func (c *Configuration) Find(host, path string) *Route {
	if i := strings.IndexAny(path, "?#"); i >= 0 {
		path = path[:i]
	}
	for _, r := range c.byHost[HostKey(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
