package rpc

import (
	"sync"

	"rowanshunt/internal/fault"
)

// errUnexpectedFrame ends a connection whose peer replies to what was not called.
var errUnexpectedFrame = fault.New(fault.Invalid, "frame", "no answer to a call of this connection", "drop the connection")

// callTable numbers the calls of one connection and holds those that wait for a
// reply. Each waiting call gets one frame of its own id, or its channel is closed
// when the connection fails.
type callTable struct {
	mu     sync.Mutex
	lastID uint64
	// waiting holds a channel with space for the one reply, so that resolve never
	// blocks. A call leaves it with its reply, when it is forgotten, or by fail.
	waiting map[uint64]chan frame
	err     error // why the connection failed; no call is added after that
}

func newCallTable() *callTable { return &callTable{waiting: map[uint64]chan frame{}} }

// add gives a call its id, or the error with which the connection failed.
func (ct *callTable) add() (id uint64, reply <-chan frame, err error) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.err != nil {
		return 0, nil, ct.err
	}
	ct.lastID++
	waiting := make(chan frame, 1)
	ct.waiting[ct.lastID] = waiting
	return ct.lastID, waiting, nil
}

// forget gives a call up; its reply will be ignored.
func (ct *callTable) forget(id uint64) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	delete(ct.waiting, id)
}

// resolve hands a frame to the call that waits for it. It refuses frames that are
// no reply, and ids that were never issued.
func (ct *callTable) resolve(f frame) error {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	isReply := f.typ == frameReply || f.typ == frameFault
	if !isReply || f.callID == 0 || f.callID > ct.lastID {
		return errUnexpectedFrame
	}
	if reply := ct.waiting[f.callID]; reply != nil {
		delete(ct.waiting, f.callID)
		reply <- f
	}
	return nil
}

// fail empties the table for good and returns the channels of the calls that waited,
// for the caller to close. The first error stays.
func (ct *callTable) fail(err error) map[uint64]chan frame {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.err == nil {
		ct.err = err
	}
	waiting := ct.waiting
	ct.waiting = map[uint64]chan frame{}
	return waiting
}

func (ct *callTable) failed() error {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.err
}
