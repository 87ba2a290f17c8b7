// Package forward is a request's way through a node: its record in the record
// table, its tries at workers, streams and their resumption. No other package
// sends to workers (design 6).
package forward

import "sync"

// RecordTable keeps the records of what is under way in places that are used again,
// so that a walk over them needs no other book-keeping (design 6.2).
type RecordTable[T any] struct {
	mu    sync.Mutex
	slots []*T
	free  []int
	count int
	bound int
}

// NewRecordTable makes a record table for at most bound records.
func NewRecordTable[T any](bound int) *RecordTable[T] { return &RecordTable[T]{bound: bound} }

// Put places a record, false if the record table is full.
func (s *RecordTable[T]) Put(v *T) (slot int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count >= s.bound {
		return 0, false
	}
	s.count++
	if n := len(s.free); n > 0 {
		slot = s.free[n-1]
		s.free = s.free[:n-1]
		s.slots[slot] = v
		return slot, true
	}
	s.slots = append(s.slots, v)
	return len(s.slots) - 1, true
}

// Drop empties a place.
func (s *RecordTable[T]) Drop(slot int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slot < len(s.slots) && s.slots[slot] != nil {
		s.slots[slot] = nil
		s.free = append(s.free, slot)
		s.count--
	}
}

// Len counts the records.
func (s *RecordTable[T]) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Each walks over the records; fn must not call the record table.
func (s *RecordTable[T]) Each(fn func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.slots {
		if v != nil {
			fn(v)
		}
	}
}
