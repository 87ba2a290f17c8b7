package dispatch

import (
	"context"
	"time"

	"rowanshunt/internal/batch"
	"rowanshunt/internal/clock"
	"rowanshunt/internal/fault"
)

// Times of acks and nacks.
const (
	// ackTimeout is how long they are sent again: over the takeover of a shard.
	ackTimeout        = 5 * clock.Second
	ackCallTimeout    = 5 * time.Second // of one call with its attempts
	ackAttemptTimeout = 1500 * time.Millisecond
)

// ack sends the result to the shard's owner until it is durable there, at most until
// ackTimeout after the item's deadline: then the result is lost.
func (r *run) ack(phase string) {
	encoding, compressed := batch.Pack(r.text.Body)
	r.dispatcher.resolve(r.deadline.Add(ackTimeout), r.key.shard, batch.KindAck, func() any {
		return &batch.AckRequest{
			Shard:    r.key.shard,
			Job:      r.key.job,
			Item:     r.key.index,
			Phase:    phase,
			Msg:      compressed,
			Enc:      encoding,
			RawBytes: len(r.text.Body),
			Lease:    r.dispatcher.inFlight.leaseOf(r.key),
		}
	})
}

// nack ends the lease without a result. failed: a worker answered 500, which counts as an attempt.
func (r *run) nack(failed bool) {
	r.dispatcher.resolve(clock.Now().Add(ackTimeout), r.key.shard, batch.KindNack, func() any {
		return &batch.NackRequest{
			Shard:   r.key.shard,
			Job:     r.key.job,
			Item:    r.key.index,
			Lease:   r.dispatcher.inFlight.leaseOf(r.key),
			Failed:  failed,
			AfterUs: redeliveryDelayUs,
		}
	})
}

// resolve sends an ack or a nack until its outcome is known or its time is over. One sent again
// under the same lease gets the first answer, from a new owner too, so no outcome stays
// unknown (design 9.3). The request is made anew each time, for the lease may have been
// renewed.
func (d *Dispatcher) resolve(until clock.Instant, shard int, kind string, request func() any) {
	for d.lifetime.Err() == nil && clock.Now() < until {
		ctx, cancel := context.WithTimeout(d.lifetime, ackCallTimeout)
		err := d.Client.Call(ctx, shard, kind, request(), nil, ackAttemptTimeout)
		cancel()
		switch {
		case err == nil, fault.Is(err, fault.Unknown), fault.Is(err, fault.Invalid), fault.Is(err, fault.Stale):
			return
		}
	}
}
