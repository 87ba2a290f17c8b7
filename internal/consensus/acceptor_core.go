package consensus

// acceptorCore decides what an acceptor answers: a state machine with neither
// goroutine, clock, disk nor socket. Each call gives the response and, where one
// is needed, the write that must be durable before the response may be sent; the
// driver (Acceptor) does the write and then reports it by written. Calls are
// decided one at a time: none is given before the write of the one before has
// been reported or has failed (design 4.2).
type acceptorCore struct {
	id      string
	durable vote // what is on disk
}

// diskWrite is a vote to be written. withState tells that its state is a new one.
type diskWrite struct {
	vote      vote
	withState bool
}

// checkMember refuses calls meant for another member.
func (a *acceptorCore) checkMember(id string) error {
	if id != a.id {
		return errWrongMember
	}
	return nil
}

// positiveResponse is the response to a prepare request that is not refused: what the
// vote promised and accepted. The vote must be durable before the response is sent.
func positiveResponse(v *vote) *prepareResponse {
	return &prepareResponse{OK: true, Promised: v.Promised, Accepted: v.Accepted, State: v.State}
}

// prepare promises not to accept ballots below the one given.
func (a *acceptorCore) prepare(in *prepareRequest) (*diskWrite, *prepareResponse) {
	if in.ReadOnly {
		return nil, positiveResponse(&a.durable)
	}
	if in.Ballot.Less(a.durable.Promised) {
		return nil, &prepareResponse{Promised: a.durable.Promised}
	}
	next := a.durable
	next.Promised = in.Ballot
	return &diskWrite{vote: next}, positiveResponse(&next)
}

// accept accepts a state unless a higher ballot was promised.
func (a *acceptorCore) accept(in *acceptRequest) (*diskWrite, *acceptResponse) {
	if in.Ballot.Less(a.durable.Promised) {
		return nil, &acceptResponse{Promised: a.durable.Promised}
	}
	next := vote{Promised: in.Ballot, Accepted: in.Ballot, State: in.State}
	return &diskWrite{vote: next, withState: true}, &acceptResponse{OK: true, Promised: in.Ballot}
}

// written reports that a write is durable.
func (a *acceptorCore) written(w *diskWrite) { a.durable = w.vote }
