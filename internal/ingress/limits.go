package ingress

import (
	"time"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/settings"
)

// Limits bound what the clients of a listener may use (design 11.2).
type Limits struct {
	MaxConns      int          // open connections
	HeaderBytes   int          // of a request's header
	HeaderTimeout clock.Micros // for a request's header to arrive
	IdleTimeout   clock.Micros // between two requests of a connection
	BodyBytes     int64        // of all request bodies in flight
}

// Limits of each listener. On the address for clients, the time-outs of the configuration
// in force replace these (design 11.5).
const (
	// maxHeaderBytes is where net/http rejects a header by itself; the cap of the
	// configuration (default 16 KiB) is checked by enforceCaps.
	maxHeaderBytes = 64 << 10
	// defaultHeaderTimeout holds for listeners without a configuration, and while
	// none is known; so does defaultIdleTimeout.
	defaultHeaderTimeout = 5 * clock.Second
	defaultIdleTimeout   = 60 * clock.Second

	// fileShare is the part of the process's file descriptors for connections of
	// clients, one in fileShare; the rest is for workers, peers and files.
	fileShare = 2
	// bodyShare is the part of the memory for bodies in flight, one in bodyShare.
	bodyShare = 6
	// smallShare is the part of the connections for a listener with few callers.
	smallShare = 4
	// minConns is the least bound of any listener, however few files the options allow.
	minConns = 16
)

// LimitsOf derives the limits from the options.
func LimitsOf(o *settings.Options) Limits {
	return Limits{
		MaxConns:      int(o.Caps.NoFile / fileShare),
		HeaderBytes:   maxHeaderBytes,
		HeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:   defaultIdleTimeout,
		BodyBytes:     o.Caps.RAMMb << 20 / bodyShare,
	}
}

// Small are the limits of listeners with few callers.
func (l Limits) Small() Limits {
	l.MaxConns /= smallShare
	return l
}

// Timeouts gives the time-outs in force for reading a header and for idle connections:
// those of the configuration, else those of the limits (design 11.5).
func (i *Ingress) Timeouts() (header, idle time.Duration) {
	header, idle = i.Limits.HeaderTimeout.Duration(), i.Limits.IdleTimeout.Duration()
	configuration := i.Configuration()
	if configuration == nil {
		return header, idle
	}
	if ms := configuration.Caps.HdrMs; ms > 0 {
		header = time.Duration(ms) * time.Millisecond
	}
	if ms := configuration.Caps.IdleMs; ms > 0 {
		idle = time.Duration(ms) * time.Millisecond
	}
	return header, idle
}
