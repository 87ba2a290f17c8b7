// Package fault holds the typed faults that every other package answers with
// (design 1.3).
package fault

import (
	"fmt"

	"github.com/go-faster/errors"
)

// Kind tells callers what a fault means for their request.
type Kind uint8

// The kinds of faults. They travel between peers as numbers, so the order
// is part of the peer protocol (design 2.3).
const (
	Internal  Kind = iota // nothing better is known
	Invalid               // the input breaks a rule of its format
	Unknown               // the thing requested does not exist
	Stale                 // the caller's version or fencing token is out of date
	Refused               // not done, and this call never will be; logged and answered as "declined"
	Unsure                // the outcome is unknown: it may or may not have been done
	TooLarge              // over a stated bound
	Unreached             // the peer never received the call
	Damaged               // stored bytes fail their checksum or cannot be decoded
	NotOwner              // another node does this; Field may name it
	Conflict              // conflicts with something in progress
)

// kindNames are the kinds in logs and answers: values of the first version, so Refused is
// "declined".
var kindNames = [...]string{"internal", "invalid", "unknown", "stale", "declined", "unsure", "too_large", "unreached", "damaged", "not_owner", "conflict"}

// String names the kind as logs show it.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind_%d", uint8(k))
}

// Fault is an error that says what is wrong, where, and what to do about it. It is
// not modified once made, so that one may be shared as a sentinel.
type Fault struct {
	Kind   Kind
	Field  string
	What   string
	Remedy string
}

// Error gives the complete fault in one line.
func (f *Fault) Error() string {
	s := f.Kind.String() + ": " + f.What
	if f.Field != "" {
		s = f.Kind.String() + ": " + f.Field + ": " + f.What
	}
	if f.Remedy != "" {
		s += " (remedy: " + f.Remedy + ")"
	}
	return s
}

// New makes a fault.
func New(kind Kind, field, what, remedy string) *Fault {
	return &Fault{Kind: kind, Field: field, What: what, Remedy: remedy}
}

// KindOf finds the kind of the first fault in err's chain, Internal if none.
func KindOf(err error) Kind {
	var f *Fault
	if errors.As(err, &f) {
		return f.Kind
	}
	return Internal
}

// Is tells whether err is a fault of that kind, or wraps one. An error that wraps no
// fault counts as Internal.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// Collector collects the faults of one step, to be reported together (design 1.3).
type Collector struct{ faults []error }

// Add collects err unless it is nil.
func (c *Collector) Add(err error) {
	if err != nil {
		c.faults = append(c.faults, err)
	}
}

// Addf collects an Invalid fault of a field.
func (c *Collector) Addf(field, what, remedy string) { c.Add(New(Invalid, field, what, remedy)) }

// Err joins the collected faults, nil if there are none.
func (c *Collector) Err() error {
	switch len(c.faults) {
	case 0:
		return nil
	case 1:
		return c.faults[0]
	}
	return errors.Join(c.faults...)
}
