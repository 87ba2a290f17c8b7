package discovery

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"rowanshunt/internal/clock"
)

// However many records there are and whatever is lost or changes on the way, no answer is
// larger than its bound, and a subscriber has all records soon after the last loss.
func TestSubscriberCatchesUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := clock.Now()
		a, subscriber := newTestAggregator(now, nil), newTestTable(now)
		workers := rapid.IntRange(0, 5*maxRecordsSent).Draw(rt, "workers")
		changes := rapid.IntRange(0, 2*maxRecordsSent).Draw(rt, "changes a renewal")
		lossy := rapid.IntRange(0, 12).Draw(rt, "renewals with losses")
		register := func(from, to int) {
			for i := from; i < to; i++ {
				a.table.merge(upWorker(fmt.Sprint("worker-", i), 1), now)
			}
		}
		registered := 0
		renewals := 0
		for ; renewals < 60; renewals++ {
			next := min(registered+changes, workers)
			if renewals == 0 || changes == 0 {
				next = workers
			}
			register(registered, next)
			registered = next
			in := &subscribeRequest{From: "n", Addr: "n", Services: []string{"s"}, Digests: []uint64{subscriber.digest("s")}}
			out := a.subscribe(in, now)
			if len(out.Workers) > maxRecordsSent {
				rt.Fatalf("an answer has %d records, at most %d are permitted", len(out.Workers), maxRecordsSent)
			}
			if renewals >= lossy || !rapid.Bool().Draw(rt, "lost") {
				subscriber.mergeAll(out.Workers, now)
			}
			if renewals >= lossy && registered == workers && subscriber.digest("s") == a.table.digest("s") {
				break
			}
			now = now.Add(renewPeriod)
		}
		// Twice a snapshot's pages, the time until a lost one is missed, and the changes.
		limit := lossy + 2*(workers/maxRecordsSent+1) + 6
		if changes > 0 {
			limit += workers/changes + 1
		}
		if renewals > min(limit, 59) && limit < 59 {
			rt.Fatalf("%d of %d records after %d renewals, %d with losses", len(subscriber.records), workers, renewals, lossy)
		}
	})
}
