package batch

import (
	"rowanshunt/internal/clock"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
)

// claimCore is one claim of a shard as a state machine with neither goroutine,
// clock, lock nor socket. The driver (ownership.runClaim) sends a claim call to all
// members and goes on step by step:
//
//	handleResponse -> records a member's response, until enough have promised
//	reuse          -> keeps copies that an earlier attempt fetched
//	missing        -> lists the copies to fetch; each that arrives goes to addFetched
//
// Which promises are enough and which copy of a job is the best is decided here
// (design 8.2); shard.adoptJobs is what follows.
type claimCore struct {
	self       string // the member that claims
	term       Term
	membership consensus.Membership
	// quorum is (*consensus.Membership).Quorum; the model checker's tests plant faults here.
	quorum func(r *consensus.Membership, agreed map[string]bool) bool

	agreed  map[string]bool             // members that promised
	best    map[string]jobVersion       // by job
	holders map[string]consensus.Member // by job: who has the best copy
	higher  Term                        // highest promise that refused the claim
	clock   clockValue                  // newest value of the shard's clock
	fetched map[string]*Job             // best copies that came from elsewhere
}

// remoteVersion is the best copy of a job where another replica has it.
type remoteVersion struct {
	version jobVersion
	holder  consensus.Member
}

func newClaim(self string, term Term, membership consensus.Membership) *claimCore {
	return &claimCore{self: self, term: term, membership: membership, quorum: (*consensus.Membership).Quorum,
		agreed: map[string]bool{}, best: map[string]jobVersion{}, holders: map[string]consensus.Member{}, fetched: map[string]*Job{}}
}

// handleResponse records a member's response, with the shard's clock there after its
// promise; true once enough have promised.
func (c *claimCore) handleResponse(member consensus.Member, out *claimResponse, clock clockValue) bool {
	if !out.OK {
		if c.higher.Less(out.Promised) {
			c.higher = out.Promised
		}
		return false
	}
	c.agreed[member.ID] = true
	c.clock = c.clock.newer(clock)
	for _, version := range out.Versions {
		c.consider(version, member)
	}
	return c.granted()
}

// consider keeps the best copy of each job; of equal ones, the one here.
func (c *claimCore) consider(version jobVersion, member consensus.Member) {
	best, have := c.best[version.JobID]
	same := best.Term == version.Term && best.Revision == version.Revision
	switch {
	case !have || best.Term.Less(version.Term) || best.Term == version.Term && best.Revision < version.Revision:
		c.best[version.JobID], c.holders[version.JobID] = version, member
	case same && member.ID == c.self:
		c.holders[version.JobID] = member
	}
}

// granted reports whether a majority promised, this member among it.
func (c *claimCore) granted() bool {
	return c.agreed[c.self] && c.quorum(&c.membership, c.agreed)
}

// reuse keeps the copies fetched earlier that are still the best.
func (c *claimCore) reuse(earlier map[string]*Job) {
	for id, job := range earlier {
		if best, ok := c.best[id]; ok && job.Term == best.Term && job.Revision == best.Revision {
			c.fetched[id] = job
		}
	}
}

// missing lists the best copies that are neither here nor fetched yet. It is
// complete before the first fetch starts, for addFetched writes to the map that it
// reads.
func (c *claimCore) missing() []remoteVersion {
	var missing []remoteVersion
	for id, best := range c.best {
		if c.holders[id].ID != c.self && c.fetched[id] == nil {
			missing = append(missing, remoteVersion{best, c.holders[id]})
		}
	}
	return missing
}

// addFetched adds a fetched copy; it must still be the version that was listed.
func (c *claimCore) addFetched(wanted remoteVersion, job *Job) error {
	if job.Term != wanted.version.Term || job.Revision != wanted.version.Revision {
		return fault.New(fault.Stale, wanted.version.JobID, "the copy changed meanwhile", "claim again")
	}
	c.fetched[wanted.version.JobID] = job
	return nil
}

// nextTerm is the term of a new claim: above every one seen here.
func (s *shard) nextTerm(membershipVersion uint64, processID string) Term {
	s.highestNumber = max(s.highestNumber, s.promised.Number) + 1
	return Term{Membership: membershipVersion, Number: s.highestNumber, Owner: processID}
}

// adoptJobs puts what a claim fetched among the copies here and raises all of them
// to the new owner's term. It gives the ops for the disk.
func (s *shard) adoptJobs(term Term, fetched map[string]*Job, now clock.Instant) []op {
	var ops []op
	for id, job := range fetched {
		restarted := s.restartAge(job, now)
		src := jobVersion{JobID: id, Term: job.Term, Revision: job.Revision}
		stored := *job
		put := op{Kind: opPut, JobID: id, Term: term, Revision: job.Revision, Job: &stored}
		apply(s.jobs, &put)
		s.jobs[id].source, s.jobs[id].ageRestarted = src, restarted
		ops = append(ops, put)
	}
	for id, job := range s.jobs {
		if fetched[id] != nil {
			continue
		}
		job.source = jobVersion{JobID: id, Term: job.Term, Revision: job.Revision}
		raise := op{Kind: opRaiseTerm, JobID: id, Term: term, Revision: job.Revision, Source: job.Term}
		apply(s.jobs, &raise)
		if job.ageRestarted = s.restartAge(job, now); job.ageRestarted {
			raise = op{Kind: opPut, JobID: id, Term: term, Revision: job.Revision, Job: job.snapshot()}
		}
		ops = append(ops, raise)
	}
	return ops
}

// What has to be on disk before a claim call is answered.
type claimStep uint8

const (
	nothingToWrite claimStep = iota
	writesUnderWay           // the promise and the copies may be on their way still
	newPromise
)

// answerClaim decides a claim call and lists the copies here.
func (s *shard) answerClaim(in *claimRequest) (*claimResponse, claimStep) {
	if s.isFenced(in.Term) || in.NoPromise && in.Term != s.promised {
		return &claimResponse{Promised: s.promised}, nothingToWrite
	}
	out := &claimResponse{OK: true, Promised: in.Term}
	for _, job := range s.jobs {
		out.Versions = append(out.Versions, jobVersion{JobID: job.ID, Term: job.Term, Revision: job.Revision, Listed: len(job.Results)})
	}
	if s.promised == in.Term {
		return out, writesUnderWay
	}
	return out, newPromise
}

// isFenced reports whether the owner of the term is out: a higher one was promised.
func (s *shard) isFenced(term Term) bool { return term.Less(s.promised) }

// raisePromise raises the promise; true if an owner here under another term is out.
func (s *shard) raisePromise(term Term) bool {
	s.promised = term
	s.highestNumber = max(s.highestNumber, term.Number)
	return s.owner != nil && s.owner.term != term
}

// applyOp applies an owner's op to the copies here, false if it does not fit.
func (s *shard) applyOp(o *op) bool {
	s.clock.record(o.Term, o.ClockUs)
	return apply(s.jobs, o)
}
