// Package quota keeps the tenants' fair shares of the fleet (docs/quotas.md,
// design 17). An operators' document in the register says what each tenant is
// guaranteed of a service's cache memory and decode slots. For each service one
// elected edge node, its leader, turns the usage that the nodes report into
// expiring grants; the nodes admit calls and items by the grants. Without a
// document none of this runs.
//
// document*.go hold the document, rules.go what it guarantees, fairshare.go and
// allocation.go the computation, leader*.go the leader, reporter.go the node's
// reports to it, gate.go the admission, and quotas.go puts them together.
package quota

import (
	"bytes"
	"context"

	"rowanshunt/internal/config"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
)

// Others is the tenant of all hosts that the document does not name.
const Others = "others"

// documentKey is the register attribute that holds the document. The value is from
// the first version: documents are stored under it.
const documentKey = "nectar/doc"

// MaxBytes bounds a document.
const MaxBytes = 4 << 20

// Document is one version of the quota document.
type Document struct {
	Version int64                       `toml:"ver"`
	Tenants map[string]Tenant           `toml:"tenants"`
	Shares  map[string]map[string]Share `toml:"shares"` // by service, then tenant
}

// Tenant is a named set of hosts.
type Tenant struct {
	Hosts []string `toml:"hosts"`
}

// Share is what one tenant has of one service: percents of the fleet or a weight,
// and a cap if it may not borrow beyond it. Fields left out are nil.
type Share struct {
	KvPercent    *float64 `toml:"kv_percent"`
	SlotsPercent *float64 `toml:"slots_percent"`
	Weight       *float64 `toml:"weight"`
	CapPercent   *float64 `toml:"cap_percent"`
}

// The fields of a document, in TOML as in JSON: operators' files have them.
const (
	fieldVersion      = "ver"
	fieldTenants      = "tenants"
	fieldHosts        = "hosts"
	fieldShares       = "shares"
	fieldKvPercent    = "kv_percent"
	fieldSlotsPercent = "slots_percent"
	fieldWeight       = "weight"
	fieldCapPercent   = "cap_percent"
)

// shareFields lists the fields of a share in the order of its JSON.
var shareFields = []string{fieldKvPercent, fieldSlotsPercent, fieldWeight, fieldCapPercent}

// field is where a share keeps the named field, nil if it has no such field.
func (s *Share) field(name string) **float64 {
	switch name {
	case fieldKvPercent:
		return &s.KvPercent
	case fieldSlotsPercent:
		return &s.SlotsPercent
	case fieldWeight:
		return &s.Weight
	case fieldCapPercent:
		return &s.CapPercent
	}
	return nil
}

// Load reads the document from the register's state, nil if there is none.
func Load(state *consensus.State) *Document {
	if state == nil || state.Attributes[documentKey] == nil {
		return nil
	}
	d, err := ParseJSON(state.Attributes[documentKey])
	if err != nil {
		return nil
	}
	return d
}

// Put commits a document on top of the version it expects, 0 for the first
// (design 17.1). Committing the document that is in force changes nothing.
func Put(ctx context.Context, change func(context.Context, consensus.Change) (*consensus.State, error), d *Document, expect int64) error {
	raw := d.JSON()
	order := consensus.NewPutRequest(raw, d.Version, expect)
	_, err := change(ctx, func(state *consensus.State) (*consensus.State, error) {
		if bytes.Equal(state.Attributes[documentKey], raw) {
			return nil, nil // no change to commit
		}
		var current int64
		if old := Load(state); old != nil {
			current = old.Version
		}
		return consensus.QuotaRequests.ApplyRequest(state, current, order, func(state *consensus.State) error {
			return d.storeChecked(state, raw)
		})
	})
	return err
}

// storeChecked puts the encoded document into a state that is not shared yet, if the
// configuration there has what the document names.
func (d *Document) storeChecked(state *consensus.State, raw []byte) error {
	if state.Version == 0 {
		return fault.New(fault.Conflict, "quotas", "there is no configuration to check them against", "put a configuration first")
	}
	configuration, err := config.Parse(state.Document)
	if err != nil {
		return err
	}
	if err := d.CheckAgainst(configuration); err != nil {
		return err
	}
	state.SetAttribute(documentKey, raw)
	return nil
}
