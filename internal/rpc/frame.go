package rpc

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"

	"rowanshunt/internal/fault"
)

// Layout of a frame (design 2.2). All integers are big-endian; length counts the
// bytes behind it.
//
//	length[4] version[1] type[1] call id[8] kindBytes[1] | kind body
//
// The golden files under testdata hold it.
const (
	// Version is the version of the peer protocol; frames of another one are
	// not read.
	Version = 2

	lengthBytes      = 4
	versionOffset    = 4
	typeOffset       = 5
	callIDOffset     = 6
	kindBytesOffset  = 14
	frameHeaderBytes = 15
)

// Bounds of what one frame carries.
const (
	// MaxFrame bounds one frame.
	MaxFrame = 24 << 20

	maxKindBytes = 255 // its length is one byte
	maxBodyBytes = MaxFrame - frameHeaderBytes - maxKindBytes
)

// bodyStepBytes is how much is allocated at a time for a body whose length only its
// sender vouches for.
const bodyStepBytes = 256 << 10

// frameType says what a frame carries. The numbers are part of the protocol.
type frameType uint8

const (
	frameCall frameType = iota + 1
	frameReply
	frameFault
)

// frame is one message. The reply or fault of a call carries the id of the call,
// and no kind.
type frame struct {
	typ    frameType
	callID uint64 // counted from 1 by connection
	kind   string // of the call, such as "gossip.shuffle"
	body   []byte
}

// Frames that end the connection: nothing behind them can be trusted.
var (
	errFrameLength  = fault.New(fault.Invalid, "frame", "impossible length", "drop the connection")
	errFrameVersion = fault.New(fault.Invalid, "frame", "another version of the peer protocol", "run the same version on all nodes")
	errFrameKind    = fault.New(fault.Invalid, "frame", "the name is longer than the frame", "drop the connection")
)

func errFrameTooLong(kind string) error {
	return fault.New(fault.TooLarge, kind, "the message is over the frame's bound", "send less at a time")
}

// checkFrame refuses what does not fit into a frame.
func checkFrame(kind string, body []byte) error {
	if len(kind) > maxKindBytes || len(body) > maxBodyBytes {
		return errFrameTooLong(kind)
	}
	return nil
}

// writeFrame leaves the frame in the writer's buffer; the caller flushes it.
func writeFrame(w *bufio.Writer, f frame) error {
	if err := checkFrame(f.kind, f.body); err != nil {
		return err
	}
	var header [frameHeaderBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(frameHeaderBytes-lengthBytes+len(f.kind)+len(f.body)))
	header[versionOffset] = Version
	header[typeOffset] = byte(f.typ)
	binary.BigEndian.PutUint64(header[callIDOffset:], f.callID)
	header[kindBytesOffset] = byte(len(f.kind))
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	if _, err := w.WriteString(f.kind); err != nil {
		return err
	}
	_, err := w.Write(f.body)
	return err
}

// readFrame returns io.EOF only between frames.
func readFrame(r *bufio.Reader) (frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:lengthBytes]); err != nil {
		return frame{}, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length < frameHeaderBytes-lengthBytes || length > MaxFrame {
		return frame{}, errFrameLength
	}
	if _, err := io.ReadFull(r, header[lengthBytes:]); err != nil {
		return frame{}, noEOF(err)
	}
	if header[versionOffset] != Version {
		return frame{}, errFrameVersion
	}
	kindBytes := int(header[kindBytesOffset])
	bodyBytes := length - (frameHeaderBytes - lengthBytes) - kindBytes
	if bodyBytes < 0 {
		return frame{}, errFrameKind
	}
	kind := make([]byte, kindBytes)
	if _, err := io.ReadFull(r, kind); err != nil {
		return frame{}, noEOF(err)
	}
	body, err := readBody(r, bodyBytes)
	if err != nil {
		return frame{}, noEOF(err)
	}
	return frame{typ: frameType(header[typeOffset]), callID: binary.BigEndian.Uint64(header[callIDOffset:]), kind: string(kind), body: body}, nil
}

// readBody lets the body grow as bytes arrive, so that a false length costs nothing.
func readBody(r io.Reader, bodyBytes int) ([]byte, error) {
	if bodyBytes <= bodyStepBytes {
		body := make([]byte, bodyBytes)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	var body []byte
	for len(body) < bodyBytes {
		have := len(body)
		body = append(body, make([]byte, min(bodyStepBytes, bodyBytes-have))...)
		if _, err := io.ReadFull(r, body[have:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// noEOF turns the end of a connection inside a frame into an error of its own.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
