package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"rowanshunt/internal/config"
)

// Middleware wraps a handler.
type Middleware func(http.Handler) http.Handler

// Chain applies middlewares, the first outermost.
func Chain(handler http.Handler, middlewares ...Middleware) http.Handler {
	for i := len(middlewares) - 1; i >= 0; i-- {
		handler = middlewares[i](handler)
	}
	return handler
}

// closeWhileDraining makes clients of a draining node open their next connection
// elsewhere (design 11.3).
func (i *Ingress) closeWhileDraining() Middleware {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i.Draining.Load() {
				w.Header().Set("Connection", "close")
			}
			next.ServeHTTP(w, r)
		})
	}
}

// recoverPanics turns each panic into an aborted connection, and logs those that are not
// an intended abort. It is the one place of this package that aborts a handler.
func (i *Ingress) recoverPanics() Middleware {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() {
				recovered := recover()
				if recovered == nil {
					return
				}
				if err, ok := recovered.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
					i.Log.Warn("handler_panicked", "panic", recovered)
				}
				panic(http.ErrAbortHandler)
			}()
			next.ServeHTTP(w, r)
		})
	}
}

// enforceCaps applies the caps of the configuration in force to request headers, and
// announces the idle time-out to clients (design 11.5).
func (i *Ingress) enforceCaps() Middleware {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if configuration := i.Configuration(); configuration != nil {
				if headerBytes(r) > configuration.Caps.HdrBytes {
					w.Header().Set("Connection", "close")
					http.Error(w, "the request header is too large", http.StatusRequestHeaderFieldsTooLarge)
					return
				}
				if !i.Draining.Load() {
					announceIdleTimeout(w, r, &configuration.Caps)
				}
			}
			next.ServeHTTP(w, r)
		})
	}
}

// announceIdleTimeout tells the client how long its connection may be idle, in whole
// seconds and one less than is kept, so that it never writes to a connection that is just
// being closed. The connection keeps the promise, also where a configuration that shortens
// the time comes while this request is in flight.
func announceIdleTimeout(w http.ResponseWriter, r *http.Request, caps *config.Caps) {
	seconds := caps.IdleMs/1000 - 1
	if seconds <= 0 {
		return
	}
	w.Header().Set("Keep-Alive", "timeout="+strconv.FormatInt(seconds, 10))
	if conn, ok := r.Context().Value(connKey{}).(*boundedConn); ok {
		conn.promisedIdle.Store(int64(time.Duration(caps.IdleMs) * time.Millisecond))
	}
}

// Bytes of a header beside its names and values, as few as a client may write.
const (
	startLineBytes = len("  HTTP/1.1\r\nHost:\r\n\r\n")
	fieldLineBytes = len(":\r\n")
)

// headerBytes is about the size of a request's header on the wire, never more.
func headerBytes(r *http.Request) int64 {
	n := startLineBytes + len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += fieldLineBytes + len(name) + len(value)
		}
	}
	return int64(n)
}
