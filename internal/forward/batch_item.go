package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"rowanshunt/internal/discovery"
	"rowanshunt/internal/fault"
)

// ItemText is what was collected of a batch item's text so far.
type ItemText struct {
	Body        []byte
	LastEventID int64
	HasEvents   bool
	// WeightVersion is that of the weights the text is from, 0 if not known.
	WeightVersion int64
}

// Restart drops what was collected: no worker has the version any more.
func (i *ItemText) Restart() { *i = ItemText{} }

// ItemOutcome is how a run of a batch item at one worker ended.
type ItemOutcome int

// The outcomes.
const (
	ItemCompleted   ItemOutcome = iota // the text is complete
	ItemRejected                       // 422: it can never be done
	ItemFailed                         // 500: a failed attempt
	ItemInterrupted                    // broke off; another worker may continue it
	ItemNotSent                        // no worker saw it, or none ran it
)

// RunItem sends a batch item to a worker and adds its events to text; it continues
// behind the last event that text holds (design 9.3).
func (s *Sender) RunItem(ctx context.Context, worker *discovery.Worker, request *Request, text *ItemText) (ItemOutcome, error) {
	text.setContinuationHeaders(request.Header)
	response, err := s.Send(ctx, worker, request, (*Attempt).abort)
	if err != nil {
		if executionOf(err) == mayHaveRun {
			return ItemInterrupted, err
		}
		return ItemNotSent, err
	}
	defer response.Release(false)
	switch code := response.HTTP.StatusCode; {
	case code == http.StatusUnprocessableEntity:
		response.Discard()
		return ItemRejected, nil
	case code == http.StatusInternalServerError:
		response.Discard()
		return ItemFailed, nil
	case code != http.StatusOK:
		return ItemInterrupted, fault.New(fault.Unsure, worker.ID, "answers "+strconv.Itoa(code), "")
	}
	if response.HTTP.Header.Get(HeaderSeal) == "" {
		return ItemInterrupted, fault.New(fault.Unsure, worker.ID, "the stream has no seal", "")
	}
	if version, known := weightVersionOf(response.HTTP); known {
		if text.HasEvents && text.WeightVersion > 0 && version != text.WeightVersion {
			return ItemInterrupted, fault.New(fault.Unsure, worker.ID, "goes on with other weights", "")
		}
		text.WeightVersion = version
	}
	return s.collect(ctx, worker, response, text)
}

// setContinuationHeaders asks the worker to continue behind the last event, with the
// weights that the text is from.
func (i *ItemText) setContinuationHeaders(header http.Header) {
	if !i.HasEvents {
		header.Del(HeaderLastEventID)
		return
	}
	header.Set(HeaderLastEventID, strconv.FormatInt(i.LastEventID, 10))
	if i.WeightVersion > 0 {
		header.Set(HeaderWantVersion, strconv.FormatInt(i.WeightVersion, 10))
	}
}

// collect adds the events of a response to text.
func (s *Sender) collect(ctx context.Context, worker *discovery.Worker, response *Response, text *ItemText) (ItemOutcome, error) {
	events := newEventReader(response.HTTP.Body)
	defer events.release()
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			response.Release(true)
			return ItemCompleted, nil
		}
		if err != nil {
			s.recordFailure(ctx, response)
			return ItemInterrupted, fault.New(fault.Unsure, worker.ID, "the stream broke off: "+err.Error(), "")
		}
		response.ResetSilenceTimer()
		if !event.HasID {
			return ItemInterrupted, fault.New(fault.Unsure, worker.ID, "an event has no id", "")
		}
		if text.HasEvents && event.ID != text.LastEventID+1 {
			return ItemInterrupted, fault.New(fault.Unsure, worker.ID, "an event is missing or doubled", "")
		}
		text.add(&event)
	}
}

// add appends an event's data.
func (i *ItemText) add(event *Event) {
	if i.HasEvents {
		i.Body = append(i.Body, '\n')
	}
	i.Body = append(i.Body, event.Data()...)
	if version, ok := event.Version(); ok {
		i.WeightVersion = version
	}
	i.LastEventID, i.HasEvents = event.ID, true
}
