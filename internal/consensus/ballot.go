package consensus

// Ballot is a proposal number. Proposer is unique to one incarnation of one node,
// so no two proposers ever use the same ballot (design 4.2).
type Ballot struct {
	Number   uint64
	Proposer string
}

// Less orders ballots by their number, those of one number by their proposer.
func (ba Ballot) Less(other Ballot) bool {
	return ba.Number < other.Number || ba.Number == other.Number && ba.Proposer < other.Proposer
}
