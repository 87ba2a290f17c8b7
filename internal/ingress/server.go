package ingress

import (
	"context"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// Server is one listener with its HTTP server.
type Server struct {
	HTTP     *http.Server
	listener net.Listener
}

// Opening describes a server to open.
type Opening struct {
	Addr    string
	Handler http.Handler
	Limits  Limits
	// Timeouts, if set, gives the time-outs in force in place of those of the limits.
	// It is called for each read of a request, from any goroutine.
	Timeouts TimeoutsFunc
}

// Open listens on the opening's address and makes a server with its limits.
func Open(o Opening) (*Server, error) {
	listener, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return newServer(listener, o), nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func newServer(listener net.Listener, o Opening) *Server {
	limits := o.Limits
	s := &Server{listener: &boundedListener{
		Listener: listener,
		maxConns: int64(max(limits.MaxConns, minConns)),
		timeouts: o.Timeouts,
	}}
	s.HTTP = &http.Server{
		Handler:           o.Handler,
		ReadHeaderTimeout: limits.HeaderTimeout.Duration(),
		IdleTimeout:       limits.IdleTimeout.Duration(),
		MaxHeaderBytes:    limits.HeaderBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	if o.Timeouts != nil {
		s.HTTP.ReadHeaderTimeout, s.HTTP.IdleTimeout = headerPlaceholder, idlePlaceholder
	}
	return s
}

// Run serves until the server is shut down.
func (s *Server) Run() error {
	if err := s.HTTP.Serve(s.listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting connections and waits for active requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) { _ = s.HTTP.Shutdown(ctx) }
