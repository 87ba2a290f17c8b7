package consensus

import (
	"rowanshunt/internal/codec"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/wal"
)

// vote is what an acceptor must never forget.
type vote struct {
	Promised Ballot
	Accepted Ballot // the ballot under which State was accepted
	State    *State
}

// apply replays the next record of the log. A record that cannot be decoded leaves
// the vote unmodified.
func (v *vote) apply(record []byte) error {
	var next vote
	if err := rpc.Unmarshal(record, &next); err != nil {
		return err
	}
	if next.State == nil {
		next.State = v.State // a promise alone leaves the accepted state
	}
	*v = next
	return nil
}

// voteStore stores votes durably: save returns nil only once the vote will survive
// a crash. withState tells that the vote's state differs from the one stored last.
type voteStore interface {
	save(v vote, withState bool) error
}

// memoryStore stores nothing. It serves the acceptors of the bootstrap register,
// which vote in their first incarnation only (design 4.3).
type memoryStore struct{}

func (memoryStore) save(vote, bool) error { return nil }

// rewriteAboveBytes, plus a few documents, is the size above which the log is
// compacted to its last vote.
const rewriteAboveBytes = 4 << 20

// diskStore is a write-ahead log of votes. Calls come one at a time, under the
// acceptor's lock.
type diskStore struct {
	log          *wal.Log
	rewriteAbove int64 // bytes
}

// openVoteLog reads the last vote in a directory and opens its log for more.
// node.recoverDisk has recovered the file.
func openVoteLog(dir string, log *logging.Log, options ...wal.Option) (vote, *diskStore, error) {
	var last vote
	votes, damage, err := wal.Open(dir, LogName, last.apply, options...)
	if err != nil {
		return vote{}, nil, err
	}
	if damage != nil {
		log.Warn("wal_tail_cut", "wal", "register", "at", damage.Offset, "bytes", damage.CutBytes, "why", damage.Reason)
	}
	return last, &diskStore{log: votes, rewriteAbove: rewriteAboveBytes}, nil
}

func (d *diskStore) save(v vote, withState bool) error {
	if d.log.SizeBytes() > d.rewriteAbove+4*int64(documentSize(v.State)) {
		return d.rewrite(v)
	}
	if !withState {
		v.State = nil
	}
	return d.write(v)
}

// rewrite replaces the log by one that holds this vote only.
func (d *diskStore) rewrite(v vote) error {
	record, err := codec.Marshal(&v)
	if err != nil {
		return err
	}
	rewritten := make(chan error, 1)
	d.log.Rewrite(func(err error) { rewritten <- err }, wal.Records(record))
	if err := <-rewritten; err == nil {
		return nil
	}
	// The disk may lack space for a second file: append to the first while it can.
	return d.log.Write(record)
}

func (d *diskStore) write(v vote) error {
	record, err := codec.Marshal(&v)
	if err != nil {
		return err
	}
	return d.log.Write(record)
}

func documentSize(s *State) int {
	if s == nil {
		return 0
	}
	return len(s.Document)
}
