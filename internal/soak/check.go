package soak

import (
	"fmt"

	"rowanshunt/internal/clock"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule string
	What string
}

// String is the violation on one line.
func (v Violation) String() string { return v.Rule + ": " + v.What }

// The rules that are checked, by the names of the operators' page.
const (
	ruleLost    = "LOST"
	ruleTwice   = "TWICE"
	ruleUnasked = "UNASKED"
	ruleMixed   = "MIXED"
	ruleRefused = "REFUSED"
	ruleOrder   = "ORDER"
	ruleBudget  = "BUDGET"
	ruleConfig  = "CONFIG"
	ruleRecover = "RECOVER"
	ruleProcess = "PROCESS" // no process ends by itself, breaks down, or stops too late
	ruleLevels  = "LEVELS"  // what a process holds is back at its level after the load
	ruleResults = "RESULTS" // exactly one stored result an item
)

// Check goes through all rules.
func Check(o *Observations) []Violation {
	c := newChecker(o)
	c.checkRequests()
	c.checkLost()
	c.checkJobs()
	c.checkChanges()
	c.checkMoved()
	c.checkHistory()
	c.checkRecovery()
	c.checkProcesses()
	return c.violations
}

// checker reads one run's observations.
type checker struct {
	*Observations
	runsByID   map[string][]*Run
	eventsOf   map[string][]NodeEvent
	core       []NodeEvent // of the nodes whose trouble unsettles the core
	unplanned  []NodeEvent
	violations []Violation
}

func newChecker(o *Observations) *checker {
	c := &checker{Observations: o, runsByID: map[string][]*Run{}, eventsOf: map[string][]NodeEvent{}}
	for i := range o.Runs {
		run := &o.Runs[i]
		c.runsByID[run.ID] = append(c.runsByID[run.ID], run)
	}
	unsettles := map[string]bool{}
	for _, name := range append(append([]string{}, o.CoreNodes...), o.StoreNodes...) {
		unsettles[name] = true
	}
	for _, event := range o.Nodes {
		c.eventsOf[event.Node] = append(c.eventsOf[event.Node], event)
		if event.What == NodeReload {
			continue
		}
		if unsettles[event.Node] || event.What == HostSlowed && event.Node == "" {
			c.core = append(c.core, event)
		}
		switch event.What {
		case NodeKill, NodeFreeze, NodeThaw, WorkerTrouble, HostSlowed:
			c.unplanned = append(c.unplanned, event)
		}
	}
	return c
}

func (c *checker) report(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, What: fmt.Sprintf(format, args...)})
}

// anyWithin tells whether one of the events lies from a moment to another.
func anyWithin(events []NodeEvent, from, until clock.Instant) bool {
	for _, event := range events {
		if event.At >= from && event.At <= until {
			return true
		}
	}
	return false
}

// unplannedTrouble tells whether there was any from contact_ms before a moment until
// another.
func (c *checker) unplannedTrouble(from, until clock.Instant) bool {
	return anyWithin(c.unplanned, from.Add(-contactBound), until)
}

// inTouch tells whether a node was in touch from one moment to another: neither it nor the
// core had any trouble, planned or not, for contact_ms before.
func (c *checker) inTouch(node string, from, until clock.Instant) bool {
	before := from.Add(-contactBound)
	for _, event := range c.eventsOf[node] {
		if event.What != NodeReload && event.At >= before && event.At <= until {
			return false
		}
	}
	return !anyWithin(c.core, before, until)
}

// slowed tells whether a node lacked the processor from one moment to another.
func (c *checker) slowed(node string, from, until clock.Instant) bool {
	for _, event := range c.Nodes {
		if event.What == HostSlowed && (event.Node == "" || event.Node == node) && event.At >= from && event.At <= until {
			return true
		}
	}
	return false
}

// sinceLoad is a moment as the seconds since the load began, for messages.
func (c *checker) sinceLoad(at clock.Instant) string {
	return fmt.Sprintf("%.3f s", at.Sub(c.LoadFrom).Duration().Seconds())
}
