package consensus

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/xxh3"

	"rowanshunt/internal/rpc"
)

// PutRequest identifies an operator's request to put a versioned document in force: the
// document's version, the version it builds on, and the digest of its bytes. Two calls
// with the same PutRequest are the same request sent again (design 4.2).
type PutRequest struct {
	Version int64
	Base    int64
	Digest  Digest
}

// Digest is the 128-bit xxh3 hash of a document.
type Digest struct {
	Hi, Lo uint64
}

// DecodeMsgpack reads digests of later versions too.
func (d *Digest) DecodeMsgpack(dec *msgpack.Decoder) error {
	return rpc.DecodeFields(dec, &d.Hi, &d.Lo)
}

// NewPutRequest makes the identity of a document sent with a version on a base.
func NewPutRequest(document []byte, version, base int64) PutRequest {
	sum := xxh3.Hash128(document)
	return PutRequest{Version: version, Base: base, Digest: Digest{Hi: sum.Hi, Lo: sum.Lo}}
}

// PutChange is the change that puts a configuration document on top of its base.
func PutChange(document []byte, version, base int64) Change {
	request := NewPutRequest(document, version, base)
	return func(current *State) (*State, error) {
		if current.Version == version && bytes.Equal(current.Document, document) {
			return nil, nil // the same document is current
		}
		return ConfigRequests.ApplyRequest(current, current.Version, request, func(current *State) error {
			current.Version, current.Document = version, document
			return nil
		})
	}
}
