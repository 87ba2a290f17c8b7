package wal

// Option changes how a log works.
type Option func(*writer)

// WithRetry makes a log keep the records that its disk refuses, and try them again
// in order until they are written or the log is closed, instead of handing the
// error back. It is for owners whose memory runs ahead of the file (design 10.4).
// Default: the error is handed back at once.
func WithRetry() Option { return func(w *writer) { w.retry = true } }

// WithStepHook calls before ahead of each step, on the writer's goroutine; an
// error takes the step's place. Tests make disks with it that stall or refuse.
func WithStepHook(before func(Step) error) Option { return func(w *writer) { w.before = before } }

// Step is one thing that a log does at its disk.
type Step int

// The steps.
const (
	StepWrite Step = iota
	StepSync
	StepTruncate
	StepSnapshot // a complete new file, up to its rename
	StepSyncFolder
)
