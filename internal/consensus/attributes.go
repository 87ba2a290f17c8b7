package consensus

import (
	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/fault"
)

// SetAttribute stores the state of another aggregate in a state that is not shared
// yet. The previous map is left unmodified, since other states may share it.
func (s *State) SetAttribute(key string, raw []byte) {
	attributes := make(map[string][]byte, len(s.Attributes)+1)
	for k, v := range s.Attributes {
		attributes[k] = v
	}
	attributes[key] = raw
	s.Attributes = attributes
}

// DeleteAttributes removes the attributes whose key drop selects from a state that
// is not shared yet.
func (s *State) DeleteAttributes(drop func(key string) bool) {
	attributes := make(map[string][]byte, len(s.Attributes))
	for key, raw := range s.Attributes {
		if !drop(key) {
			attributes[key] = raw
		}
	}
	s.Attributes = attributes
}

// loadAttribute decodes the attribute under a key; ok tells whether there is one.
func loadAttribute[T any](s *State, key string) (content T, ok bool, err error) {
	raw := s.Attributes[key]
	if raw == nil {
		return content, false, nil
	}
	if err := msgpack.Unmarshal(raw, &content); err != nil {
		var none T
		return none, false, fault.New(fault.Damaged, key, err.Error(), "run the same version on all nodes")
	}
	return content, true, nil
}

// storeAttribute encodes an attribute into a state that is not shared yet.
func storeAttribute(s *State, key string, content any) error {
	raw, err := codec.Marshal(content)
	if err != nil {
		return err
	}
	s.SetAttribute(key, raw)
	return nil
}
