package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"rowanshunt/internal/clock"
)

// operator changes the configuration, beside another operator.
type operator struct {
	number int
	rng    *rand.Rand
	nodes  func(n uint64) nodeSpec
	record *Record
	sent   int
}

const maxChangePause = 2500 * time.Millisecond

// run sends changes until ctx ends.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, time.Duration(o.rng.Int64N(int64(maxChangePause))))
		read := o.read(ctx, false)
		if read.Status == http.StatusOK {
			o.change(ctx, read.Version)
		}
	}
}

// first sends the first configuration until it is taken.
func (o *operator) first(ctx context.Context) bool {
	for ctx.Err() == nil {
		if o.change(ctx, 0) == http.StatusOK {
			return true
		}
	}
	return false
}

// change sends one change, unchanged, until it gets a clear answer.
func (o *operator) change(ctx context.Context, base int64) (status int) {
	o.sent++
	change := Change{Operator: o.number, Base: base, Version: base + 1 + o.rng.Int64N(3), Marker: markerOf(o.number, o.sent), MovedTo: singleService}
	if o.rng.IntN(2) == 0 {
		change.MovedTo = streamService
	}
	body, err := newConfigDocument(change.Version, change.Marker, change.MovedTo)
	if err != nil {
		return 0
	}
	header := http.Header{"If-Match": {strconv.FormatInt(base, 10)}, "Content-Type": {"application/json"}}
	change.Sent = clock.Now()
	for try := uint64(0); ctx.Err() == nil; try++ {
		status, _ := call(ctx, http.MethodPut, "http://"+o.nodes(o.rng.Uint64()).ctlAddr()+"/-/config", header, body)
		if status == http.StatusOK || status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			change.Status = status
			break
		}
		clock.Sleep(ctx, retryPause*time.Duration(1+min(try, 4)))
	}
	change.Answered = clock.Now()
	o.record.add(func(observations *Observations) { observations.Changes = append(observations.Changes, change) })
	return change.Status
}

// read reads the configuration at some node.
func (o *operator) read(ctx context.Context, final bool) ConfigRead {
	node := o.nodes(o.rng.Uint64())
	read := ConfigRead{Node: node.name, Sent: clock.Now(), Final: final}
	status, body := call(ctx, http.MethodGet, "http://"+node.ctlAddr()+"/-/config", nil, nil)
	read.At, read.Status = clock.Now(), status
	if status == http.StatusOK {
		var err error
		if read.Version, read.Marker, err = readMarker(body); err != nil {
			read.Status = 0
		}
	}
	if ctx.Err() == nil && read.Status != 0 {
		o.record.add(func(observations *Observations) { observations.ConfigReads = append(observations.ConfigReads, read) })
	}
	return read
}
