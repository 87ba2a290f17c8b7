package consensus

import (
	"fmt"
	"slices"
)

// scenario bounds what the model checker explores, and holds the machines: a
// planted fault replaces one of their functions.
type scenario struct {
	name             string
	members          int // of the first membership
	newcomers        int // members that may take the place of a wiped one
	calls            [][]scenarioCall
	attempts         int  // of one call
	acceptorCrashes  int  // of acceptors
	wipes            int  // of acceptors: the next newcomer starts in its place
	proposerCrashes  int  // of proposers: the call is abandoned, a new incarnation begins
	answersDelivered bool // no answer that is awaited is lost; rounds may be
	broadcasts       bool // proposers receive committed states between their calls
	// abandonedChange tells that a proposer began replaceCall(0, 3) and crashed, and that
	// proposer 1 knows of it from what the acceptor of its own node accepted.
	abandonedChange bool
	// bootstrap makes it the bootstrap register: the members are the seeds, of which one
	// that is wiped is gone, while one that restarts has its votes; the proposers learn
	// nothing between their calls (design 4.3).
	bootstrap bool

	// Planted faults; nil or false in the real machines.
	prepare         func(*acceptorCore, *prepareRequest) (*diskWrite, *prepareResponse)
	accept          func(*acceptorCore, *acceptRequest) (*diskWrite, *acceptResponse)
	quorum          func(*Membership, map[string]bool) bool
	answerFirst     bool // an answer leaves before its write is durable
	sameIncarnation bool // a new incarnation reuses the identity of the one before
	alwaysCommitted bool // every membership passes for a committed one
	sameMember      bool // a wiped disk comes back as the old member
	sameBallots     bool // a proposer's next call counts its ballots anew
}

func putCall(name string, ver, base int64) scenarioCall {
	doc := []byte(name)
	request := NewPutRequest(doc, ver, base)
	return scenarioCall{name: fmt.Sprintf("%s: %d on %d", name, ver, base), request: &request, change: PutChange(doc, ver, base)}
}

// bootstrapCall bootstraps with a value of its own, unless there is one.
func bootstrapCall(value string) scenarioCall {
	return scenarioCall{name: "bootstrap " + value, change: bootstrapChange([]byte(value))}
}

// replaceCall brings a newcomer in, in the place of a member, as a node does
// that joins.
func replaceCall(old, newcomer int) scenarioCall {
	has := func(s *State) bool { return s.Core.Has(acceptorID(newcomer)) }
	return scenarioCall{
		name:   "replace " + acceptorID(old) + " by " + acceptorID(newcomer),
		repeat: func(s *State) bool { return s.Core.Joint() || !has(s) },
		change: func(current *State) (*State, error) {
			switch {
			case current.Core.Joint():
				current.Core = current.Core.Commit()
			case has(current):
				return nil, nil
			default:
				next := slices.Clone(current.Core.Current)
				for i := range next {
					if next[i].ID == acceptorID(old) {
						next[i] = Member{ID: acceptorID(newcomer), Name: acceptorID(old)}
					}
				}
				current.Core = current.Core.Begin(next)
			}
			return current, nil
		},
	}
}

// once abandons a change of several steps after the first that is answered.
func (sc scenarioCall) once() scenarioCall {
	sc.repeat = nil
	return sc
}

// within bounds the attempts of the call.
func (sc scenarioCall) within(attempts int) scenarioCall {
	sc.attempts = attempts
	return sc
}

// The calls of the scenarios, by proposer.
var (
	race   = [][]scenarioCall{{putCall("x", 4, 0)}, {putCall("y", 5, 0)}}
	resend = [][]scenarioCall{{putCall("x", 4, 0), putCall("x", 4, 0)}, {putCall("y", 9, 4)}}
	// y is refused while x is not in force, and again once it is.
	refusedAgain = [][]scenarioCall{{putCall("y", 9, 4), putCall("y", 9, 4)}, {putCall("x", 4, 0)}}
	// A bootstrapper whose first call failed has another view by the next.
	bootstrappers = [][]scenarioCall{{bootstrapCall("P"), bootstrapCall("Q")}, {bootstrapCall("R")}}
	replaceOne    = [][]scenarioCall{{replaceCall(0, 3).within(2)}, {putCall("y", 5, 0)}}
	// An abandoned membership change is discovered and completed while another
	// proposer knows the first membership only.
	abandonedChange     = [][]scenarioCall{{putCall("x", 4, 0).within(1)}, {replaceCall(0, 3).within(2).once()}}
	abandonedChangeLong = [][]scenarioCall{{putCall("x", 4, 0).within(1)}, {replaceCall(0, 3).within(3).once()}}
)

func modelScenarios() []*scenario {
	scenarios := []*scenario{
		{name: "race of two requests, three members", members: 3, calls: race, attempts: 2},
		{name: "a request sent again and built upon", members: 3, calls: resend, attempts: 1},
		{name: "a refused request is sent again", members: 3, calls: refusedAgain, attempts: 1},
		{name: "two bootstrappers, one crashes, a seed is lost", members: 3, calls: bootstrappers, attempts: 1, proposerCrashes: 1, wipes: 1, bootstrap: true, answersDelivered: true},
		{name: "two bootstrappers, a seed restarts with its votes", members: 3, calls: bootstrappers, attempts: 1, acceptorCrashes: 1, bootstrap: true, answersDelivered: true},
		{name: "a proposer crashes and sends its request again", members: 3, calls: [][]scenarioCall{{putCall("x", 4, 0), putCall("x", 4, 0)}, {putCall("y", 5, 0)}}, attempts: 1, proposerCrashes: 1, acceptorCrashes: 1},
		{name: "race, five members", members: 5, calls: race, attempts: 1},
		{name: "a member is wiped and replaced under a request", members: 3, newcomers: 1, calls: replaceOne, attempts: 1, wipes: 1, answersDelivered: true},
		{name: "an abandoned membership change is completed", members: 3, newcomers: 1, calls: abandonedChange, abandonedChange: true, answersDelivered: true},
		{name: "two membership changes at once", members: 3, newcomers: 2, calls: [][]scenarioCall{{replaceCall(0, 3)}, {replaceCall(1, 4), putCall("y", 5, 0)}}, attempts: 1, wipes: 2},
	}
	if *modelLong {
		scenarios = append(scenarios,
			&scenario{name: "an abandoned membership change, three attempts", members: 3, newcomers: 1, calls: abandonedChangeLong, abandonedChange: true, answersDelivered: true},
			&scenario{name: "two bootstrappers, one crashes, a seed is lost, answers too", members: 3, calls: bootstrappers, attempts: 1, proposerCrashes: 1, wipes: 1, bootstrap: true},
			&scenario{name: "race of two requests, five members, two attempts", members: 5, calls: race, attempts: 2},
			&scenario{name: "a member is wiped and replaced, two attempts", members: 3, newcomers: 1, calls: replaceOne, attempts: 2, wipes: 1})
	}
	return scenarios
}
