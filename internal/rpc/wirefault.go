package rpc

import (
	"github.com/go-faster/errors"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/fault"
)

// wireFault is the body of a fault frame: a fault as it travels (design 2.3). The
// order of the fields is part of the protocol.
type wireFault struct {
	Kind   fault.Kind
	Field  string
	What   string
	Remedy string
}

// encodeFault encodes any error of a handler; one that is no fault is Unsure, for
// the handler may have done part of the work.
func encodeFault(err error) []byte {
	wire := wireFault{Kind: fault.Unsure, What: err.Error()}
	var f *fault.Fault
	if errors.As(err, &f) {
		wire = wireFault{Kind: f.Kind, Field: f.Field, What: f.What, Remedy: f.Remedy}
	}
	body, _ := codec.Marshal(wire) // numbers and strings can always be encoded
	return body
}

// decodeFault is the fault that a peer replied with to a call of the kind.
func decodeFault(kind string, body []byte) error {
	var wire wireFault
	if err := Unmarshal(body, &wire); err != nil {
		return fault.New(fault.Unsure, kind, "the fault cannot be read", "run the same version on all nodes")
	}
	return fault.New(wire.Kind, wire.Field, wire.What, wire.Remedy)
}
