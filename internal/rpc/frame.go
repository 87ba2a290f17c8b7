package rpc

import (
	"bufio"
	"encoding/binary"
	"io"

	"rowanshunt/internal/fault"
)

// Version is the version of the peer protocol; frames of another one are
// not read (design 2.2).
const Version = 2

// MaxFrame bounds one frame.
const MaxFrame = 24 << 20

type frameType uint8

const (
	frameCall frameType = iota + 1
	frameAnswer
	frameFault
)

// frame is one message: length, version, type, call number, kind, body.
type frame struct {
	kind frameType
	id   uint64
	name string
	body []byte
}

const frameHead = 4 + 1 + 1 + 8 + 1

// Bounds of what one frame carries.
const (
	maxName = 255
	maxBody = MaxFrame - frameHead - maxName
)

func errFrameTooLong(name string) error {
	return fault.New(fault.TooLarge, name, "the message is over the frame's bound", "send less at a time")
}

func writeFrame(w *bufio.Writer, f frame) error {
	var head [frameHead]byte
	if len(f.name) > maxName || len(f.body) > maxBody {
		return errFrameTooLong(f.name)
	}
	binary.BigEndian.PutUint32(head[:], uint32(frameHead-4+len(f.name)+len(f.body)))
	head[4], head[5] = Version, byte(f.kind)
	binary.BigEndian.PutUint64(head[6:], f.id)
	head[14] = byte(len(f.name))
	if _, err := w.Write(head[:]); err != nil {
		return err
	}
	if _, err := w.WriteString(f.name); err != nil {
		return err
	}
	_, err := w.Write(f.body)
	return err
}

func readFrame(r *bufio.Reader) (frame, error) {
	var head [frameHead]byte
	if _, err := io.ReadFull(r, head[:4]); err != nil {
		return frame{}, err
	}
	lenBytes := int(binary.BigEndian.Uint32(head[:]))
	if lenBytes < frameHead-4 || lenBytes > MaxFrame {
		return frame{}, fault.New(fault.Invalid, "frame", "impossible length", "drop the connection")
	}
	if _, err := io.ReadFull(r, head[4:]); err != nil {
		return frame{}, noEOF(err)
	}
	if head[4] != Version {
		return frame{}, fault.New(fault.Invalid, "frame", "another version of the peer protocol", "run the same version on all nodes")
	}
	nameLen := int(head[14])
	restLen := lenBytes - (frameHead - 4)
	if nameLen > restLen {
		return frame{}, fault.New(fault.Invalid, "frame", "the name is longer than the frame", "drop the connection")
	}
	name := make([]byte, nameLen)
	if _, err := io.ReadFull(r, name); err != nil {
		return frame{}, noEOF(err)
	}
	// The body grows as bytes arrive, so that a lying length costs nothing.
	body, err := readBody(r, restLen-nameLen)
	if err != nil {
		return frame{}, noEOF(err)
	}
	return frame{kind: frameType(head[5]), id: binary.BigEndian.Uint64(head[6:]), name: string(name), body: body}, nil
}

func readBody(r io.Reader, n int) ([]byte, error) {
	const step = 256 << 10
	if n <= step {
		b := make([]byte, n)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	var b []byte
	for len(b) < n {
		at := len(b)
		b = append(b, make([]byte, min(step, n-at))...)
		if _, err := io.ReadFull(r, b[at:]); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
