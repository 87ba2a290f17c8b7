package forward

import (
	"net/http"
	"strconv"

	"rowanshunt/internal/fault"
)

// position is how much of a response the client has. Once the header is sent, only a
// stream can be continued by another worker, and only behind its last numbered event.
type position struct {
	headerSent     bool
	lastEventID    int64
	hasEventID     bool
	sentUnnumbered bool  // data without an event id was sent: nobody can continue it
	weightVersion  int64 // of the weights that the stream began with, 0 if not known
}

// requiredVersion is the version of the weights that a worker must have to continue the
// response, 0 for any.
func (p *position) requiredVersion() int64 {
	if !p.headerSent {
		return 0
	}
	return p.weightVersion
}

// setContinuationHeaders asks the worker to continue behind the last event that the
// client has, with the weights that the stream began with: one stream never joins
// events of two weight versions (design 13.5).
func (p *position) setContinuationHeaders(header http.Header) {
	if p.hasEventID {
		header.Set(HeaderLastEventID, strconv.FormatInt(p.lastEventID, 10))
	}
	if version := p.requiredVersion(); version > 0 {
		header.Set(HeaderWantVersion, strconv.FormatInt(version, 10))
	}
}

// checkHeader tells why a worker's stream cannot be passed on, nil if it can.
func (p *position) checkHeader(response *Response) error {
	if response.HTTP.Header.Get(HeaderSeal) == "" {
		return fault.New(fault.Unsure, response.attempt.worker, "the stream has no seal", "")
	}
	version, known := weightVersionOf(response.HTTP)
	if required := p.requiredVersion(); known && required > 0 && version != required {
		return fault.New(fault.Unsure, response.attempt.worker, "goes on with other weights", "")
	}
	return nil
}

// checkEvent tells why a worker's event cannot be passed on, nil if it can.
func (p *position) checkEvent(event *Event, worker string) error {
	if event.HasID && p.hasEventID && event.ID != p.lastEventID+1 {
		return fault.New(fault.Unsure, worker, "an event is missing or doubled", "")
	}
	return nil
}

// sendHeader notes that the client gets the header of a worker's stream.
func (p *position) sendHeader(received *http.Response) {
	if p.headerSent {
		return
	}
	p.headerSent = true
	if version, ok := weightVersionOf(received); ok {
		p.weightVersion = version
	}
}

// sendEvent notes that the client gets the event.
func (p *position) sendEvent(event *Event) {
	if version, ok := event.Version(); ok {
		p.weightVersion = version
	}
	if event.HasID {
		p.lastEventID, p.hasEventID = event.ID, true
	} else if event.HasData() {
		p.sentUnnumbered = true
	}
}
