package consensus

import (
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/wal"
)

// BootstrapLogName is the file that holds what a node must not forget of the bootstrap: that
// it took part, the seeds of that time, and what it voted if it was one of them.
const BootstrapLogName = "bootstrap.cell"

// bootstrapRecord is one record of the log; the last one counts.
type bootstrapRecord struct {
	Seeds    []string
	Promised Ballot
	Accepted Ballot
	State    *State
	// Ended: a change was committed after the first membership, so that nobody needs to
	// bootstrap any more.
	Ended bool
}

// BootstrapLog is a node's part in the bootstrap, kept on its disk. The acceptor and end may
// write it at the same time; the seeds never change.
type BootstrapLog struct {
	log   *wal.Log
	seeds []string

	mu     sync.Mutex
	record bootstrapRecord // what is on disk
}

// OpenBootstrapLog opens a node's part in the bootstrap, nil if it has none. A node that is
// started for the first time begins it here, with these seeds: that must come before the
// node's identity is made, as a node with an identity is not started for the first time.
func OpenBootstrapLog(dir string, firstStart bool, seeds []string, log *logging.Log) (*BootstrapLog, error) {
	begun, err := openBootstrapLog(dir, log)
	if err == nil && begun == nil && firstStart {
		return createBootstrapLog(dir, seeds)
	}
	return begun, err
}

// InProgress tells whether this node has begun a bootstrap of which it knows no end.
func (b *BootstrapLog) InProgress() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.record.Ended
}

// openBootstrapLog opens the log where the node took part in the bootstrap, nil where it did
// not, or where it has lost what it voted: then it must not vote again.
func openBootstrapLog(dir string, log *logging.Log) (*BootstrapLog, error) {
	if _, err := os.Stat(filepath.Join(dir, BootstrapLogName)); errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	found, err := wal.Recover(dir, BootstrapLogName, "")
	if err != nil {
		return nil, errors.Wrap(err, "recover "+BootstrapLogName)
	}
	if found.Damage != nil && found.Damage.Lost {
		log.Warn("bootstrap_votes_lost", "wal", BootstrapLogName, "why", found.Damage.Reason, "aside", found.QuarantinePath, "remedy", "none needed while two other seeds have theirs")
	}
	b := &BootstrapLog{}
	if b.log, _, err = wal.Open(dir, BootstrapLogName, b.apply); err != nil {
		return nil, errors.Wrap(err, "open "+BootstrapLogName)
	}
	if b.seeds = b.record.Seeds; len(b.seeds) == 0 {
		b.log.Close()
		return nil, nil
	}
	return b, nil
}

func createBootstrapLog(dir string, seeds []string) (*BootstrapLog, error) {
	log, _, err := wal.Open(dir, BootstrapLogName, func([]byte) error { return nil })
	if err != nil {
		return nil, errors.Wrap(err, "create "+BootstrapLogName)
	}
	b := &BootstrapLog{log: log, seeds: seeds}
	err = b.write(bootstrapRecord{Seeds: seeds})
	return b, err
}

// apply replays the next record of the log.
func (b *BootstrapLog) apply(record []byte) error {
	var next bootstrapRecord
	if err := rpc.Unmarshal(record, &next); err != nil {
		return err
	}
	b.record = next
	return nil
}

func (b *BootstrapLog) write(next bootstrapRecord) error {
	raw, err := codec.Marshal(&next)
	if err != nil {
		return err
	}
	if err := b.log.Write(raw); err != nil {
		return err
	}
	b.record = next
	return nil
}

// save stores a vote durably (voteStore).
func (b *BootstrapLog) save(v vote, _ bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.write(bootstrapRecord{Seeds: b.seeds, Promised: v.Promised, Accepted: v.Accepted, State: v.State, Ended: b.record.Ended})
}

// end notes that nobody needs to bootstrap any more. The votes stay.
func (b *BootstrapLog) end() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.record.Ended {
		return nil
	}
	next := b.record
	next.Ended = true
	return b.write(next)
}

// acceptor is this node's acceptor of the bootstrap register, nil if it is none of the seeds.
func (b *BootstrapLog) acceptor(addr string) *Acceptor {
	if !slices.Contains(b.seeds, addr) {
		return nil
	}
	last := vote{Promised: b.record.Promised, Accepted: b.record.Accepted, State: b.record.State}
	return newAcceptor(bootstrapMemberPrefix+addr, last, b)
}
