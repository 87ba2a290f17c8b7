// Package rig starts a small deployment of the project's own programs on loopback
// addresses, with stand-ins for its clients, workers and operator.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a script writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord makes the file anew.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Now is the time since the script began, which the lines of the record carry.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Logf writes one line.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", r.Now().Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}
