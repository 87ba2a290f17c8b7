// Package logging writes one logfmt line per event (design 1.4).
package logging

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Log writes one line of key=value pairs per event. Any goroutine may use it.
type Log struct{ l log.Logger }

// NewLog makes a log that writes to w the events at or above the lowest level (debug, info,
// warn or error; info if it is unknown). Each line carries the pairs in with.
func NewLog(w io.Writer, lowest string, with ...any) *Log {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = log.With(l, "ts", log.DefaultTimestampUTC)
	l = log.With(l, with...)
	return &Log{l: level.NewFilter(l, level.Allow(level.ParseDefault(lowest, level.InfoValue())))}
}

// Quiet makes a log that writes nothing.
func Quiet() *Log { return &Log{l: log.NewNopLogger()} }

// Info logs an event of normal operation, with key and value pairs.
func (l *Log) Info(event string, kv ...any) {
	_ = level.Info(l.l).Log(append([]any{"event", event}, kv...)...)
}

// Warn logs an event that an operator may want to look into.
func (l *Log) Warn(event string, kv ...any) {
	_ = level.Warn(l.l).Log(append([]any{"event", event}, kv...)...)
}

// Debug logs an event of interest to developers only.
func (l *Log) Debug(event string, kv ...any) {
	_ = level.Debug(l.l).Log(append([]any{"event", event}, kv...)...)
}
