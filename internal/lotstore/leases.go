package lotstore

import (
	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
)

// leaseUs is how long a lease runs: twice as long with each time sent.
func (b *Store) leaseUs(epoch int64) int64 {
	return b.cfg.Options.AckWaitUs << min(max(epoch-1, 0), maxDoublings)
}

// leaseID names a lease: by the owner's count and the revision that gave it, so
// that no two answered leases share one.
func leaseID(st Term, rev uint64) uint64 { return st.N<<32 | rev&(1<<32-1) }

// leaseOf is the lease under which an item was listed.
func (l *Lot) leaseOf(item int) uint64 {
	for i := range l.List {
		if l.List[i].Item == item {
			return l.List[i].Lease
		}
	}
	return 0
}

// reclaim goes through what the asker holds: a live lease is renewed, another
// one must stop. What the rows say it holds and it does not name was lost on
// the way: that lease is over.
func (b *Store) reclaim(from string, held []Held) (stop []Held) {
	nowUs := eventloop.NowUs()
	have := make(map[Held]bool, len(held))
	for _, h := range held {
		if h.Shard < 0 || h.Shard >= Shards || b.shards[h.Shard].owner == nil || !b.shards[h.Shard].owner.ready {
			continue
		}
		have[h] = true
		l := b.shards[h.Shard].lots[h.Lot]
		if l == nil || l.live == nil || h.Item < 0 || h.Item >= len(l.Prompts) || l.Ended || l.listed[h.Item] || !l.leased(h.Item, h.Lease, nowUs) {
			stop = append(stop, h)
			continue
		}
		l.live.at[h.Item].nextUs = nowUs + b.leaseUs(l.Rows[h.Item].Epoch)
	}
	b.eachHeld(nowUs, func(s *shard, l *Lot, i int, p *promptState) {
		if l.Rows[i].Holder == from && nowUs-p.sentUs > lostHoldUs && !have[Held{Shard: s.n, Lot: l.ID, Item: i, Lease: l.Rows[i].Lease}] {
			p.nextUs = nowUs
		}
	})
	return stop
}

// leased tells whether that lease of an item is live: the same one, not over.
func (l *Lot) leased(item int, lease uint64, nowUs int64) bool {
	return lease != 0 && l.Rows[item].Lease == lease && nowUs < l.live.at[item].nextUs
}

// eachHeld walks over the items with live leases.
func (b *Store) eachHeld(nowUs int64, fn func(s *shard, l *Lot, i int, p *promptState)) {
	for _, s := range b.shards {
		if s.owner == nil {
			continue
		}
		for _, l := range s.lots {
			if l.live == nil || l.closed() {
				continue
			}
			for i := range l.live.at {
				if p := &l.live.at[i]; l.Rows[i].Lease != 0 && p.nextUs > nowUs && !l.listed[i] {
					fn(s, l, i, p)
				}
			}
		}
	}
}

// errLease is the answer to who comes under a lease that is over.
func errLease(lot string) error {
	return fault.New(fault.Stale, lot, "the lease is not the live one", "drop what was run under it")
}
