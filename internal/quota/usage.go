package quota

import (
	"slices"

	"rowanshunt/internal/clock"
)

// Usage is what a node reports of one tenant. Its fields travel in this order.
type Usage struct {
	Name      string
	Live      Amount
	Batch     Amount
	Shortages int64 // live calls that found no capacity since the last report
	Waiting   bool  // items wait for capacity
}

// empty reports whether there is nothing to report.
func (u *Usage) empty() bool {
	return u.Live.Slots <= 0 && u.Batch.Slots <= 0 && u.Shortages <= 0 && !u.Waiting
}

// tenantUsage is what one tenant has at one node, under the gate's lock.
type tenantUsage struct {
	live, batch  Amount
	shortages    int64         // live calls that found no capacity since the last report
	shortageAt   clock.Instant // when the last of them did
	itemWaitedAt clock.Instant // when an item last found no capacity
	items        []*Ticket     // of the batch runs, the newest last
}

func (t *tenantUsage) total() Amount { return t.live.plus(t.batch) }

func (t *tenantUsage) recordShortage(now clock.Instant) {
	t.shortages++
	t.shortageAt = now
}

func (t *tenantUsage) add(ticket *Ticket) {
	if !ticket.batch {
		t.live = t.live.plus(ticket.amount)
		return
	}
	t.batch = t.batch.plus(ticket.amount)
	t.items = append(t.items, ticket)
}

func (t *tenantUsage) remove(ticket *Ticket) {
	if !ticket.batch {
		t.live = t.live.minus(ticket.amount)
		return
	}
	t.batch = t.batch.minus(ticket.amount)
	if i := slices.Index(t.items, ticket); i >= 0 {
		t.items = slices.Delete(t.items, i, i+1)
	}
}

// report returns the usage and resets its shortages, so that each is reported once.
func (t *tenantUsage) report(name string, now clock.Instant) Usage {
	usage := Usage{Name: name, Live: t.live, Batch: t.batch, Shortages: t.shortages, Waiting: now.Sub(t.itemWaitedAt) < waitingSpan}
	t.shortages = 0
	return usage
}

// preemptOver asks batch runs to give way, the newest first, until the rest are
// within the limit's slots. Runs that were asked before count as gone.
func (t *tenantUsage) preemptOver(limit Limit) {
	total := t.total()
	for i := len(t.items) - 1; i >= 0 && total.Slots > float64(limit.Slots); i-- {
		ticket := t.items[i]
		total = total.minus(ticket.amount)
		ticket.giveWay()
	}
}

// preemptNewest asks the newest batch run to give way that was not asked before, if the
// tenant has more than the bound.
func (t *tenantUsage) preemptNewest(bound Amount) {
	total := t.total()
	for i := len(t.items) - 1; i >= 0 && (total.Slots > bound.Slots || total.Kv > bound.Kv); i-- {
		ticket := t.items[i]
		total = total.minus(ticket.amount)
		if !ticket.preempted {
			ticket.giveWay()
			return
		}
	}
}

// giveWay asks the item's run to end, once.
func (t *Ticket) giveWay() {
	if !t.preempted {
		t.preempted = true
		t.preempt()
	}
}

// Ticket is the capacity of one admitted call or item. All but Release is under the
// gate's lock.
type Ticket struct {
	gate      *Gate
	usage     *tenantUsage
	amount    Amount
	batch     bool
	preempt   func() // of an item's run
	preempted bool   // preempt was called
	released  bool
}

// Release returns the capacity. A second call does nothing, as does one on the
// nil ticket of a call that was not counted.
func (t *Ticket) Release() {
	if t == nil {
		return
	}
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.released {
		return
	}
	t.released = true
	t.usage.remove(t)
}
