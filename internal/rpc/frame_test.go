package rpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"rowanshunt/internal/fault"
)

func packed(t *testing.T, f frame) []byte {
	t.Helper()
	var b bytes.Buffer
	w := bufio.NewWriter(&b)
	if err := errors.Join(writeFrame(w, f), w.Flush()); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func TestFrameRoundTrip(t *testing.T) {
	for _, f := range []frame{
		{kind: frameCall, id: 1, name: "a.b", body: []byte("x")},
		{kind: frameAnswer, id: 1 << 60},
		{kind: frameFault, id: 7, body: bytes.Repeat([]byte("y"), 600<<10)},
	} {
		got, err := readFrame(bufio.NewReader(bytes.NewReader(packed(t, f))))
		if err != nil || got.kind != f.kind || got.id != f.id || got.name != f.name || !bytes.Equal(got.body, f.body) {
			t.Errorf("%v: %v", f.kind, err)
		}
	}
}

// What a peer must not be able to do (design 2.2).
func TestFrameRefused(t *testing.T) {
	good := packed(t, frame{kind: frameCall, id: 3, name: "kind", body: []byte("body")})
	for cut := range good {
		if cut == 0 {
			continue
		}
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(good[:cut]))); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut at %d: %v", cut, err)
		}
	}
	for _, tc := range []struct {
		name  string
		spoil func([]byte)
	}{
		{"another version", func(b []byte) { b[4] = Version + 1 }},
		{"too long", func(b []byte) { binary.BigEndian.PutUint32(b, MaxFrame+1) }},
		{"too short", func(b []byte) { binary.BigEndian.PutUint32(b, 3) }},
		{"a name longer than the frame", func(b []byte) { b[14] = 200 }},
	} {
		bad := bytes.Clone(good)
		tc.spoil(bad)
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(bad))); !fault.Is(err, fault.Invalid) {
			t.Errorf("%s: %v", tc.name, err)
		}
	}
	var b bytes.Buffer
	if err := writeFrame(bufio.NewWriter(&b), frame{body: make([]byte, MaxFrame)}); !fault.Is(err, fault.TooLarge) {
		t.Errorf("a body over the bound: %v", err)
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{0, 0, 0, 11, 1, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := readFrame(bufio.NewReader(bytes.NewReader(raw)))
		if err == nil && len(got.body)+len(got.name) > len(raw) {
			t.Fatal("more came out than went in")
		}
	})
}
