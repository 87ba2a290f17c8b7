package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/go-faster/errors"

	"rowanshunt/internal/fault"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Fields of an event.
const (
	dataField          = "data:"
	idField            = "id:"
	weightVersionField = "x-rowanshunt-weight-versions:"
)

// Event is one event of a stream (text/event-stream).
type Event struct {
	Raw   []byte // as the worker sent it, with its blank line; valid until the next event is read
	ID    int64
	HasID bool
}

// eventReader reads the events of one stream. Readers and their buffers are pooled.
type eventReader struct {
	reader *bufio.Reader
	buffer []byte
}

var eventReaders = sync.Pool{New: func() any { return &eventReader{reader: bufio.NewReaderSize(nil, eventReaderBytes)} }}

// eventReaderBytes holds most events; longer ones are read in pieces.
const eventReaderBytes = 2 << 10

// newEventReader gets a reader for body from the pool; release returns it.
func newEventReader(body io.Reader) *eventReader {
	r := eventReaders.Get().(*eventReader)
	r.reader.Reset(body)
	return r
}

func (e *eventReader) release() { eventReaders.Put(e) }

// next reads the next event. It stays valid until next is called again.
func (e *eventReader) next() (event Event, err error) {
	event, e.buffer, err = ReadEvent(e.reader, e.buffer)
	return event, err
}

// ReadEvent reads the next event completely, into a buffer that it may grow and
// returns. io.EOF says that the stream ended between two events,
// io.ErrUnexpectedEOF that it ended amid one.
func ReadEvent(reader *bufio.Reader, buffer []byte) (Event, []byte, error) {
	buffer, err := readEventBytes(reader, buffer[:0])
	if err != nil {
		return Event{}, buffer, err
	}
	event := Event{Raw: buffer}
	for rest := buffer; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		value, ok := bytes.CutPrefix(line, []byte(idField))
		if !ok {
			continue
		}
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			event.ID, event.HasID = id, true
		}
	}
	return event, buffer, nil
}

// readEventBytes appends lines to buffer up to the blank line that ends an event.
func readEventBytes(reader *bufio.Reader, buffer []byte) ([]byte, error) {
	for {
		line, err := reader.ReadSlice('\n')
		buffer = append(buffer, line...)
		if len(buffer) > maxEventBytes {
			return buffer, fault.New(fault.TooLarge, "event", "is over 1 MiB", "")
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(buffer)) == 0:
			return buffer, io.EOF
		case errors.Is(err, io.EOF):
			return buffer, io.ErrUnexpectedEOF
		case err != nil:
			return buffer, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && isCompleteLine(buffer, line) {
			return buffer, nil
		}
	}
}

// isCompleteLine tells whether line, the last of buffer, begins a line there: one
// that overflowed the reader comes in pieces.
func isCompleteLine(buffer, line []byte) bool {
	start := len(buffer) - len(line)
	return start == 0 || buffer[start-1] == '\n'
}

// HasData tells whether the event has data; a comment has none.
func (e *Event) HasData() bool {
	return bytes.HasPrefix(e.Raw, []byte(dataField)) || bytes.Contains(e.Raw, []byte("\n"+dataField))
}

// Version is the version of the weights, where the event's first line says that it
// changed.
func (e *Event) Version() (int64, bool) {
	line, _, _ := bytes.Cut(e.Raw, []byte("\n"))
	value, ok := bytes.CutPrefix(line, []byte(weightVersionField))
	if !ok {
		return 0, false
	}
	return lastNumber(string(value))
}

// Data is the data of an event, its lines joined by line feeds.
func (e *Event) Data() []byte {
	var data []byte
	first := true
	for rest := e.Raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		value, ok := bytes.CutPrefix(line, []byte(dataField))
		if !ok {
			continue
		}
		if !first {
			data = append(data, '\n')
		}
		first = false
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	return data
}
