package discovery

import (
	"slices"
	"strings"
)

// serviceRecords are the records of one service, ordered by worker ID, with their
// digest. Directories and responses are made of them without sorting, and digests
// without going through them.
type serviceRecords struct {
	ordered []*record
	digest  uint64 // the sum of the records' fingerprints, which wraps around
}

func (sr *serviceRecords) add(r *record) {
	at, _ := sr.find(r.ID)
	sr.ordered = slices.Insert(sr.ordered, at, r)
	sr.digest += r.print
}

func (sr *serviceRecords) remove(r *record) {
	if at, found := sr.find(r.ID); found {
		sr.ordered = slices.Delete(sr.ordered, at, at+1)
		sr.digest -= r.print
	}
}

func (sr *serviceRecords) find(id string) (at int, found bool) {
	return slices.BinarySearchFunc(sr.ordered, id, func(r *record, id string) int { return strings.Compare(r.ID, id) })
}
