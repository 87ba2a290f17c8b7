package batch

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"rowanshunt/internal/fault"
)

// Texts are packed by the dispatcher that ran the item and unpacked by the node
// that a reader asked: between the two, on every replica's link, in its memory
// and on its disk, they are small (design 8.11).

// Encodings of a text, as they are stored.
const (
	encodingPlain   uint8 = iota
	encodingDeflate       // DEFLATE, entropy coding alone: texts are short, and it is fast
)

// minCompressBytes is the length from which packing pays.
const minCompressBytes = 256

var deflaters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.HuffmanOnly) // a known level: cannot fail
	return w
}}

// Pack compresses a text if that makes it shorter by a tenth at least.
func Pack(msg []byte) (enc uint8, out []byte) {
	if len(msg) < minCompressBytes {
		return encodingPlain, msg
	}
	buf := bytes.NewBuffer(make([]byte, 0, len(msg)*3/4))
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(buf)
	if _, err := w.Write(msg); err != nil {
		return encodingPlain, msg
	}
	if err := w.Close(); err != nil || buf.Len() > len(msg)*9/10 {
		return encodingPlain, msg
	}
	return encodingDeflate, buf.Bytes()
}

// Unpack decompresses a text; rawBytes is its length.
func Unpack(enc uint8, data []byte, rawBytes int) ([]byte, error) {
	switch enc {
	case encodingPlain:
		return data, nil
	case encodingDeflate:
		if rawBytes < 0 || rawBytes > 1032*len(data)+1032 { // no more than DEFLATE can make of it
			return nil, fault.New(fault.Damaged, "text", "has an impossible length", "read it from another node")
		}
		out := make([]byte, rawBytes)
		r := flate.NewReader(bytes.NewReader(data))
		if _, err := io.ReadFull(r, out); err != nil {
			return nil, fault.New(fault.Damaged, "text", err.Error(), "read it from another node")
		}
		if n, err := r.Read(make([]byte, 1)); n > 0 || err != io.EOF {
			return nil, fault.New(fault.Damaged, "text", "is longer than its stated length", "read it from another node")
		}
		return out, nil
	}
	return nil, fault.New(fault.Damaged, "text", "has a compression not known here", "run the same version on all nodes")
}
