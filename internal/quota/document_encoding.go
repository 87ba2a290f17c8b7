package quota

import (
	"sort"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/jx"

	"rowanshunt/internal/fault"
)

// ParseTOML reads a document as operators write it.
func ParseTOML(raw []byte) (*Document, error) {
	d := &Document{}
	meta, err := toml.Decode(string(raw), d)
	if err != nil {
		return nil, fault.New(fault.Invalid, "quotas", err.Error(), "write it as docs/quotas.md shows")
	}
	var faults fault.Collector
	for _, key := range meta.Undecoded() {
		addUnknownField(&faults, key.String())
	}
	d.validate(&faults)
	return d, faults.Err()
}

func addUnknownField(faults *fault.Collector, path string) {
	faults.Addf(path, "is no field of the document", "take it out, or write it as docs/quotas.md shows")
}

// ParseJSON reads a document as nodes exchange it. Unlike encoding/json it refuses
// unknown fields and names that occur twice, all of them in one error.
func ParseJSON(raw []byte) (*Document, error) {
	if len(raw) > MaxBytes {
		return nil, fault.New(fault.TooLarge, "quotas", "are over 4 MiB", "send a smaller document")
	}
	r := documentReader{document: &Document{Tenants: map[string]Tenant{}, Shares: map[string]map[string]Share{}}}
	err := jx.DecodeBytes(raw).Obj(r.readField)
	if err == nil && !jx.Valid(raw) {
		err = fault.New(fault.Invalid, "", "something follows the object", "send one JSON object")
	}
	if err != nil {
		return nil, fault.New(fault.Invalid, "quotas", "cannot be read whole: "+err.Error(), "send one JSON object with ver, tenants and shares")
	}
	r.document.validate(&r.faults)
	return r.document, r.faults.Err()
}

// documentReader decodes one JSON document. What JSON allows and the document does
// not is collected in faults; malformed JSON ends the decoding.
type documentReader struct {
	document *Document
	faults   fault.Collector
}

func (d *documentReader) readField(dec *jx.Decoder, key string) error {
	switch key {
	case fieldVersion:
		version, err := dec.Int64()
		d.document.Version = version
		return err
	case fieldTenants:
		return dec.Obj(d.readTenant)
	case fieldShares:
		return dec.Obj(d.readService)
	}
	return d.skipUnknown(dec, key)
}

func (d *documentReader) skipUnknown(dec *jx.Decoder, path string) error {
	addUnknownField(&d.faults, path)
	return dec.Skip()
}

func (d *documentReader) readTenant(dec *jx.Decoder, name string) error {
	path := fieldTenants + "." + name
	if _, duplicate := d.document.Tenants[name]; duplicate {
		d.faults.Addf(path, "is there twice", "name each tenant once")
	}
	var tenant Tenant
	err := dec.Obj(func(dec *jx.Decoder, key string) error {
		if key != fieldHosts {
			return d.skipUnknown(dec, path+"."+key)
		}
		return dec.Arr(func(dec *jx.Decoder) error {
			host, err := dec.Str()
			tenant.Hosts = append(tenant.Hosts, host)
			return err
		})
	})
	d.document.Tenants[name] = tenant
	return err
}

func (d *documentReader) readService(dec *jx.Decoder, service string) error {
	path := fieldShares + "." + service
	if d.document.Shares[service] != nil {
		d.faults.Addf(path, "is there twice", "name each service once")
	}
	shares := map[string]Share{}
	d.document.Shares[service] = shares
	return dec.Obj(func(dec *jx.Decoder, tenant string) error {
		path := path + "." + tenant
		if _, duplicate := shares[tenant]; duplicate {
			d.faults.Addf(path, "is there twice", "name each tenant once")
		}
		share, err := d.readShare(dec, path)
		shares[tenant] = share
		return err
	})
}

func (d *documentReader) readShare(dec *jx.Decoder, path string) (Share, error) {
	var share Share
	err := dec.Obj(func(dec *jx.Decoder, key string) error {
		field := share.field(key)
		if field == nil {
			return d.skipUnknown(dec, path+"."+key)
		}
		value, err := dec.Float64()
		*field = &value
		return err
	})
	return share, err
}

// JSON encodes the document as nodes exchange and store it: the same document has
// the same bytes on every node.
func (d *Document) JSON() []byte {
	var e jx.Encoder
	e.Obj(func(e *jx.Encoder) {
		e.Field(fieldVersion, func(e *jx.Encoder) { e.Int64(d.Version) })
		e.Field(fieldTenants, func(e *jx.Encoder) { encodeSorted(e, d.Tenants, encodeTenant) })
		e.Field(fieldShares, func(e *jx.Encoder) {
			encodeSorted(e, d.Shares, func(e *jx.Encoder, shares map[string]Share) {
				encodeSorted(e, shares, encodeShare)
			})
		})
	})
	return e.Bytes()
}

// encodeSorted encodes a map as an object, its keys in order.
func encodeSorted[V any](e *jx.Encoder, values map[string]V, encode func(*jx.Encoder, V)) {
	e.Obj(func(e *jx.Encoder) {
		for _, name := range sortedKeys(values) {
			e.Field(name, func(e *jx.Encoder) { encode(e, values[name]) })
		}
	})
}

func encodeTenant(e *jx.Encoder, tenant Tenant) {
	e.Obj(func(e *jx.Encoder) {
		e.Field(fieldHosts, func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, host := range tenant.Hosts {
					e.Str(host)
				}
			})
		})
	})
}

func encodeShare(e *jx.Encoder, share Share) {
	e.Obj(func(e *jx.Encoder) {
		for _, name := range shareFields {
			if value := *share.field(name); value != nil {
				e.Field(name, func(e *jx.Encoder) { e.Float64(*value) })
			}
		}
	})
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
