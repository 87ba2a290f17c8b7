package rpc

import (
	"context"
	"sync"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/fault"
)

// Handler replies to one kind of call. body is only valid until it returns.
type Handler func(ctx context.Context, body []byte) (any, error)

// Mux holds the handlers of a node by the kind of call. Any goroutine may register
// and serve.
type Mux struct {
	mu       sync.RWMutex
	handlers map[string]Handler
}

// NewMux makes a mux without handlers.
func NewMux() *Mux { return &Mux{handlers: map[string]Handler{}} }

// Handle registers fn as the handler of a kind, in place of an earlier one. Calls of
// a kind run beside each other, each in a goroutine of its own.
func Handle[In, Out any](m *Mux, kind string, fn func(ctx context.Context, in *In) (*Out, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = func(ctx context.Context, body []byte) (any, error) {
		in := new(In)
		if err := Unmarshal(body, in); err != nil {
			return nil, fault.New(fault.Invalid, kind, "cannot be read: "+err.Error(), "run the same version on all nodes")
		}
		out, err := fn(ctx, in)
		if err != nil {
			return nil, err
		}
		return out, nil
	}
}

// Serve runs the handler of a kind and encodes its reply. A panic in a handler is
// the caller's to recover.
func (m *Mux) Serve(ctx context.Context, kind string, body []byte) (reply []byte, err error) {
	m.mu.RLock()
	handler := m.handlers[kind]
	m.mu.RUnlock()
	if handler == nil {
		return nil, fault.New(fault.Refused, kind, "no such kind of call here", "run the same version on all nodes")
	}
	out, err := handler(ctx, body)
	if err != nil {
		return nil, err
	}
	return codec.Marshal(out)
}
