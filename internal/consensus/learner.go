package consensus

import "sync"

// learner holds the newest state that the node knows. Once that is a committed one
// it never goes back to an earlier revision (design 4.2). Its methods may be called
// from any goroutine.
type learner struct {
	onCommit func(*State) // receives each committed state that is newer than the last

	mu        sync.Mutex
	state     *State // never modified, since it is shared
	committed bool
}

// newLearner starts from the state that the node's acceptor accepted, nil if none.
// That may not be committed, but its membership names the members to ask
// (design 4.4).
func newLearner(accepted *State, onCommit func(*State)) *learner {
	return &learner{state: accepted, onCommit: onCommit}
}

// latest is the newest state and whether it is committed.
func (l *learner) latest() (*State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.committed
}

// latestCommitted is the newest committed state, nil if none.
func (l *learner) latestCommitted() *State {
	if s, committed := l.latest(); committed {
		return s
	}
	return nil
}

// observe receives a committed state, nil or an older one being ignored.
func (l *learner) observe(s *State) {
	if l.advance(s) {
		l.onCommit(s)
	}
}

func (l *learner) advance(s *State) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == nil || l.committed && s.Revision <= l.state.Revision {
		return false
	}
	l.state, l.committed = s, true
	return true
}
