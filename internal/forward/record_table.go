package forward

import "sync"

// RecordTable holds the records of requests in flight in slots that are used again, so
// that going over all of them needs no other bookkeeping (design 6.2). Any number of
// goroutines may use it.
type RecordTable[T any] struct {
	mu    sync.Mutex
	slots []*T
	free  []int
	count int
	bound int
}

// NewRecordTable makes a table for at most bound records.
func NewRecordTable[T any](bound int) *RecordTable[T] { return &RecordTable[T]{bound: bound} }

// Put stores a record, false if the table is full.
func (r *RecordTable[T]) Put(v *T) (slot int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count >= r.bound {
		return 0, false
	}
	r.count++
	if n := len(r.free); n > 0 {
		slot = r.free[n-1]
		r.free = r.free[:n-1]
		r.slots[slot] = v
		return slot, true
	}
	r.slots = append(r.slots, v)
	return len(r.slots) - 1, true
}

// Drop empties a slot.
func (r *RecordTable[T]) Drop(slot int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slot < len(r.slots) && r.slots[slot] != nil {
		r.slots[slot] = nil
		r.free = append(r.free, slot)
		r.count--
	}
}

// Len counts the records.
func (r *RecordTable[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Each calls fn for each record; fn must not call the table.
func (r *RecordTable[T]) Each(fn func(*T)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.slots {
		if v != nil {
			fn(v)
		}
	}
}
