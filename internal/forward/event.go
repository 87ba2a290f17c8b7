package forward

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"rowanshunt/internal/fault"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// Event is one event of a stream.
type Event struct {
	Raw   []byte // as the worker sent it, with the blank line; valid until the next
	ID    int64
	HasID bool
}

// ReadEvent reads the next event whole. io.EOF: the stream ended between two
// events.
func ReadEvent(r *bufio.Reader, buf []byte) (Event, []byte, error) {
	buf = buf[:0]
	ev := Event{}
	for {
		line, err := r.ReadSlice('\n')
		buf = append(buf, line...)
		if len(buf) > maxEvent {
			return ev, buf, fault.New(fault.TooLarge, "event", "is over 1 MiB", "")
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF {
			if len(bytes.TrimSpace(buf)) == 0 {
				return ev, buf, io.EOF
			}
			return ev, buf, io.ErrUnexpectedEOF
		}
		if err != nil {
			return ev, buf, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && endsLine(buf, line) {
			break
		}
	}
	for rest := buf; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
			if err == nil {
				ev.ID, ev.HasID = n, true
			}
		}
	}
	ev.Raw = buf
	return ev, buf, nil
}

// HasData tells whether the event has data: a comment has none.
func (e *Event) HasData() bool {
	return bytes.HasPrefix(e.Raw, []byte(dataField)) || bytes.Contains(e.Raw, []byte("\n"+dataField))
}

// dataField begins a line of data.
const dataField = "data:"

// Version is the version of the weights, where the event says that it changed.
func (e *Event) Version() (int64, bool) {
	line, _, _ := bytes.Cut(e.Raw, []byte("\n"))
	v, ok := bytes.CutPrefix(line, []byte(versionLine))
	if !ok {
		return 0, false
	}
	return lastNumber(string(v))
}

const versionLine = "x-rowanshunt-weight-versions:"

// headVersion is the version of the weights that an answer's head tells.
func headVersion(resp *http.Response) (int64, bool) {
	return lastNumber(resp.Header.Get(HeadVersions))
}

// lastNumber reads the last of numbers between commas or spaces.
func lastNumber(s string) (int64, bool) {
	s = strings.TrimSpace(s)
	if i := strings.LastIndexAny(s, ", :="); i >= 0 {
		s = s[i+1:]
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil
}

// endsLine tells whether line, the last of buf, stands on its own (a line that
// overflowed the reader comes in pieces).
func endsLine(buf, line []byte) bool {
	at := len(buf) - len(line)
	return at == 0 || buf[at-1] == '\n'
}

// Data is the data of an event, its lines joined by line feeds.
func (e *Event) Data() []byte {
	var out []byte
	first := true
	for rest := e.Raw; len(rest) > 0; {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		if v, ok := bytes.CutPrefix(line, []byte(dataField)); ok {
			if !first {
				out = append(out, '\n')
			}
			first = false
			out = append(out, bytes.TrimPrefix(v, []byte(" "))...)
		}
	}
	return out
}
