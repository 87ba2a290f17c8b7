package trace

import "rowanshunt/internal/fault"

// The kinds of changes that can be followed. The values travel between nodes, so they stay as
// the first version had them.
const (
	Configuration = "blueprint"
	Worker        = "worker"
	BatchJob      = "lot"
)

// ConfigurationName is the name of the kind Configuration in HTTP paths and on command lines.
// The other kinds are named there as they travel.
const ConfigurationName = "configuration"

// KindOf maps a name in a path or on a command line to its kind.
func KindOf(name string) string {
	if name == ConfigurationName {
		return Configuration
	}
	return name
}

// Query names the change to follow. It travels as a msgpack array: the order of the fields is the
// format.
type Query struct {
	Kind string
	ID   string // version of a configuration, or id of a worker or batch job
	Host string // under which a batch job was submitted
}

// Check reports a kind that cannot be followed.
func (q *Query) Check() error {
	switch q.Kind {
	case Configuration, Worker, BatchJob:
		return nil
	}
	return fault.New(fault.Invalid, "kind", "cannot be followed", "ask for a configuration, a worker or a lot")
}
