package wal

import "sync"

// Stats counts what a log did since it was opened.
type Stats struct {
	Syncs    int64 // record groups and snapshots, each one write and one fsync
	Bytes    int64
	Rewrites int64
}

// status is what the writer publishes of its file for other goroutines.
type status struct {
	mu        sync.Mutex
	sizeBytes int64 // synced length of the file
	err       error // of the last attempt at the disk
	stats     Stats
}

func (s *status) opened(sizeBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizeBytes = sizeBytes
}

func (s *status) appended(writtenBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizeBytes += writtenBytes
	s.stats.Syncs++
	s.stats.Bytes += writtenBytes
}

func (s *status) rewritten(sizeBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizeBytes = sizeBytes
	s.stats.Syncs++
	s.stats.Bytes += sizeBytes - fileHeaderBytes
	s.stats.Rewrites++
}

func (s *status) attempted(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *status) size() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sizeBytes
}

func (s *status) lastError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func (s *status) counted() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
