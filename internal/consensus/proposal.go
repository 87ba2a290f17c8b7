package consensus

// proposal is one call of Change as a state machine with neither goroutine,
// clock nor socket. The driver (Proposer) runs it attempt by attempt:
//
//	prepare  -> a prepare round to send; its responses go to promised
//	propose  -> once enough promised or the time is over: an accept round to
//	            send, or a new attempt; its responses go to accepted
//	conclude -> once enough accepted or the time is over: the end, or a new
//	            attempt
//
// What the quorums must hold, and when a membership may change, is decided here
// (design 4.2, 4.4).
type proposal struct {
	change Change
	// quorum is (*Membership).Quorum; the model checker's tests plant faults here.
	quorum func(m *Membership, agreed map[string]bool) bool

	// The attempt in progress.
	known          *State // the state whose membership votes
	knownCommitted bool
	ballot         Ballot
	votes          map[string]bool // members that agreed in this round
	// lastAccepted is the state with the highest ballot, lastAcceptedBallot, that
	// the members which promised had accepted; nil if none had.
	lastAccepted       *State
	lastAcceptedBallot Ballot
	proposed           *State // what change made, nil for no change
	value              *State // what the accept round carries
	refusal            error  // what change answered

	// Of all attempts of the call.
	newer          *State // a state with a newer membership that was discovered, perhaps not committed
	highestSeen    uint64 // of the ballots seen in responses
	outcomeUnknown bool   // the change made a state that an accept round may have carried
}

func newProposal(change Change) *proposal {
	return &proposal{change: change, quorum: (*Membership).Quorum}
}

// prepare begins an attempt with a ballot that no earlier attempt used. latest is
// the newest state the node knows. It gives the members to send the prepare round
// to, none while no membership is known.
func (p *proposal) prepare(latest *State, committed bool, ballot Ballot) []Member {
	if p.newer != nil && (latest == nil || p.newer.Core.Version > latest.Core.Version) {
		latest, committed = p.newer, false
	}
	p.known, p.knownCommitted, p.ballot = latest, committed, ballot
	p.votes = map[string]bool{}
	p.lastAccepted, p.lastAcceptedBallot = nil, Ballot{}
	p.proposed, p.value, p.refusal = nil, nil, nil
	if latest == nil {
		return nil
	}
	return latest.Core.All()
}

// promised records a member's response to the prepare round; true once there is a
// quorum.
func (p *proposal) promised(member string, response *prepareResponse) bool {
	p.highestSeen = max(p.highestSeen, response.Promised.Number)
	if !response.OK {
		return false
	}
	if response.State != nil && (p.lastAccepted == nil || p.lastAcceptedBallot.Less(response.Accepted)) {
		p.lastAccepted, p.lastAcceptedBallot = response.State, response.Accepted
	}
	p.votes[member] = true
	return p.quorum(&p.known.Core, p.votes)
}

// discoveredNewerMembership tells whether the prepare round discovered a membership
// to use instead. Without a quorum that is only a hint, but it may be the only one:
// of the members known here all but one may be gone, and what that one accepted
// names the members of today (design 4.4).
func (p *proposal) discoveredNewerMembership() bool {
	return p.lastAccepted != nil && p.lastAccepted.Core.Version > p.known.Core.Version
}

// propose ends the prepare round. It gives the members to send the accept round
// to, none if a new attempt is needed.
func (p *proposal) propose() []Member {
	if p.discoveredNewerMembership() {
		p.newer = p.lastAccepted
		return nil
	}
	if !p.quorum(&p.known.Core, p.votes) {
		return nil
	}
	current := p.known
	if p.lastAccepted != nil {
		current = p.lastAccepted
	}
	p.proposed, p.refusal = p.change(current.clone())
	p.value = current.clone() // commits the newest state again, unless what the change made may follow it
	if p.proposed != nil {
		// A membership only follows a committed one: without that rule two
		// memberships could each find a majority (design 4.4).
		if p.proposed.Core.Version == current.Core.Version || p.knownCommitted {
			p.value = p.proposed
			p.value.Revision = current.Revision + 1
		}
		p.outcomeUnknown = p.outcomeUnknown || p.refusal == nil
	}
	p.votes = map[string]bool{}
	return unionOf(p.known.Core.All(), p.value.Core.All())
}

// accepted records a member's response to the accept round; true once there is a
// quorum of the membership that votes and of the one proposed.
func (p *proposal) accepted(member string, response *acceptResponse) bool {
	p.highestSeen = max(p.highestSeen, response.Promised.Number)
	if response.OK {
		p.votes[member] = true
	}
	return p.isCommitted()
}

func (p *proposal) isCommitted() bool {
	return p.quorum(&p.known.Core, p.votes) && p.quorum(&p.value.Core, p.votes)
}

// conclude ends the accept round. committed is the state that is committed now,
// nil if that is not known. ended tells whether the call is over: what the
// change asked for is committed, or its refusal stands on a committed state.
func (p *proposal) conclude() (committed *State, ended bool) {
	if !p.isCommitted() {
		return nil, false
	}
	if p.proposed != nil && p.value != p.proposed {
		p.newer = nil // the membership discovered is committed now; the change comes next
		return p.value, false
	}
	return p.value, true
}

// timeoutError is the error of a call that ends without a quorum: an Unsure fault
// if the change may still take effect, else a Refused one.
func (p *proposal) timeoutError() error {
	if p.outcomeUnknown {
		return errOutcomeUnknown
	}
	return errNoMajority
}
