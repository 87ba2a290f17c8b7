package wal

import (
	"strconv"

	"github.com/go-faster/errors"

	"rowanshunt/internal/fault"
)

// Errors of a log, for errors.Is. What is returned wraps one of them together with a
// fault.Fault, which names the file and says what to do (see fileError).
var (
	// ErrRecordSize refuses an empty record, or one longer than MaxRecord.
	ErrRecordSize = errors.New("record size out of bounds")
	// ErrClosed refuses what comes after Close.
	ErrClosed = errors.New("log closed")
	// ErrNotRecovered refuses to open a file that has no valid header or lost something
	// that had been synced: Recover must run first.
	ErrNotRecovered = errors.New("log not recovered")
	// ErrForeignRecord ends the reading of a file with an undamaged record that the owner
	// of the log can't read.
	ErrForeignRecord = errors.New("record of another version")
	// ErrNoSpaceToConvert leaves an undamaged file of the first version as it is, for want
	// of disk space. Nothing of it is lost, so its remedy must not empty the folder.
	ErrNoSpaceToConvert = errors.New("no disk space to convert the log")
)

// fileError is a fault of one log file together with the sentinel value for errors.Is.
// Text, kind and what travels to other nodes are those of the fault, which errors.As
// finds.
type fileError struct {
	fault    *fault.Fault
	sentinel error
}

// Error is the text of the fault.
func (fe *fileError) Error() string { return fe.fault.Error() }

// Unwrap gives errors.As the fault and errors.Is the sentinel value.
func (fe *fileError) Unwrap() []error { return []error{fe.fault, fe.sentinel} }

// checkRecord refuses a record that the format can't hold.
func checkRecord(name string, record []byte) error {
	if len(record) == 0 || len(record) > MaxRecord {
		return &fileError{fault.New(fault.TooLarge, name, "a record is empty or too long", "bound what is stored"), ErrRecordSize}
	}
	return nil
}

func errClosed(name string) error {
	return &fileError{fault.New(fault.Refused, name, "the log is closed", "start the node again"), ErrClosed}
}

func errNotRecovered(file, reason string) error {
	return &fileError{fault.New(fault.Damaged, file, reason, "recover the file first"), ErrNotRecovered}
}

func errForeignRecord(file string, err error) error {
	remedy := "the file holds a record of another version: run that version or empty the folder so that the node joins anew"
	return &fileError{fault.New(fault.Damaged, file, err.Error(), remedy), ErrForeignRecord}
}

func errNoSpaceToConvert(file string, fileBytes int64, err error) error {
	neededMB := strconv.FormatInt(fileBytes>>20+1, 10)
	what := "is complete, but the disk has no space to write it in this version's form: " + err.Error()
	remedy := "free " + neededMB + " MB of the disk, or run the version before; keep the file"
	return &fileError{fault.New(fault.Refused, file, what, remedy), ErrNoSpaceToConvert}
}

// wrapped says what failed, and is nil where nothing did.
func wrapped(err error, what string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, what)
}
