package gossip

import "slices"

// introductionRounds is how many rounds a node spends on the seeds that have not answered
// it yet: time for seeds that start a little later than the others.
const introductionRounds = 15

// introduction is the first exchange of a node with each of its seeds. Nodes that draw
// their peers among those they know already can form groups that do not know of each
// other; a seed that every node has exchanged with joins them (design 3.3).
type introduction struct {
	rounds   int             // that the node has begun
	answered map[string]bool // addresses of the seeds that have
}

func newIntroduction() *introduction { return &introduction{answered: map[string]bool{}} }

// pending lists the seeds that still have to answer, none once introductionRounds are over.
func (i *introduction) pending(seeds []string, own string) []string {
	if i.rounds > introductionRounds {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(seeds), func(addr string) bool { return addr == own || i.answered[addr] })
}

// answer notes that the process behind an address has answered.
func (i *introduction) answer(addr string) {
	if i.rounds <= introductionRounds {
		i.answered[addr] = true
	}
}
