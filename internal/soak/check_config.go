package soak

import (
	"net/http"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"rowanshunt/internal/clock"
)

// checkChanges: an acknowledged change is in force everywhere after apply_ms and is not
// lost, and of two changes made on the same version one is acknowledged at most.
func (c *checker) checkChanges() {
	acknowledgedOn := map[int64]string{}
	for i := range c.Changes {
		change := &c.Changes[i]
		if change.Status != http.StatusOK {
			continue
		}
		if before, ok := acknowledgedOn[change.Base]; ok {
			c.report(ruleConfig, "%s and %s are both acknowledged on version %d", before, change.Marker, change.Base)
		}
		acknowledgedOn[change.Base] = change.Marker
	}
	final := false
	for _, read := range c.ConfigReads {
		if read.Status != http.StatusOK {
			continue
		}
		final = final || read.Final
		newest := c.newestAcknowledged(read.Sent.Add(-applyBound))
		if newest != nil && read.Version < newest.Version {
			c.report(ruleConfig, "%s shows version %d at %s, %v after %d was acknowledged", read.Node, read.Version, c.sinceLoad(read.Sent),
				read.Sent.Sub(newest.Answered).Duration(), newest.Version)
		}
		if !c.wasSent(read.Version, read.Marker) {
			c.report(ruleConfig, "%s shows version %d with %q, which nobody sent", read.Node, read.Version, read.Marker)
		}
	}
	if !final {
		c.report(ruleConfig, "the configuration is not answered at the end")
	}
}

// newestAcknowledged is the acknowledged change of the highest version at a moment.
func (c *checker) newestAcknowledged(at clock.Instant) *Change {
	var newest *Change
	for i := range c.Changes {
		change := &c.Changes[i]
		if change.Status == http.StatusOK && change.Answered <= at && (newest == nil || change.Version > newest.Version) {
			newest = change
		}
	}
	return newest
}

// wasSent tells whether a configuration was sent and not refused.
func (c *checker) wasSent(version int64, marker string) bool {
	for i := range c.Changes {
		change := &c.Changes[i]
		if change.Version == version && change.Marker == marker && change.Status/100 != 4 {
			return true
		}
	}
	// A change that is still under way when the run ends is not in the list.
	return len(c.Changes) == 0
}

// checkMoved: a request that is sent apply_ms after a change by a node in touch is not run
// by a service that only older configurations name.
func (c *checker) checkMoved() {
	for i := range c.Requests {
		request := &c.Requests[i]
		if !strings.HasPrefix(request.Target, movedPrefix) {
			continue
		}
		newest := c.newestAcknowledged(request.Sent.Add(-applyBound))
		if newest == nil || !c.inTouch(request.Node, request.Sent, request.Ended) {
			continue
		}
		allowed := map[string]bool{newest.MovedTo: true}
		for _, change := range c.Changes {
			if change.Version > newest.Version && change.Status/100 != 4 {
				allowed[change.MovedTo] = true
			}
		}
		for _, run := range completedOrNot(c.runsByID[request.ID]) {
			if !allowed[run.Service] {
				c.report(ruleConfig, "%s ran at the service %s, which no version since %d names", request.ID, run.Service, newest.Version)
			}
		}
	}
}

// registerInput is one change of the register in a history.
type registerInput struct {
	base, version int64
	marker        string
}

// registerState is what the register holds.
type registerState struct {
	version int64
	marker  string
}

// registerModel is the register as porcupine checks it: a change is taken if it builds on
// the version that is there; the same change may be acknowledged again.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		current, change, status := state.(registerState), input.(registerInput), output.(int)
		fits := current.version == change.base && change.version > change.base
		isThere := current.version == change.version && current.marker == change.marker
		next := registerState{change.version, change.marker}
		switch status {
		case http.StatusOK:
			return fits || isThere, next
		case http.StatusPreconditionFailed:
			return !fits, current
		default: // taken or not: an outcome that nobody knows is placed at the end if it was not
			if fits {
				return true, next
			}
			return true, current
		}
	},
}

// historyLimit bounds the search for an order of the changes.
const historyLimit = 20 * time.Second

// checkHistory: there is an order of all changes in which each got the answer that it got.
func (c *checker) checkHistory() {
	var operations []porcupine.Operation
	last := clock.Instant(0)
	for _, change := range c.Changes {
		last = max(last, change.Answered)
	}
	for _, change := range c.Changes {
		answered := change.Answered
		if change.Status == 0 {
			answered = last.Add(clock.Second) // it may take effect until then, or never
		}
		operations = append(operations, porcupine.Operation{ClientId: change.Operator, Input: registerInput{change.Base, change.Version, change.Marker},
			Call: int64(change.Sent), Output: change.Status, Return: int64(answered)})
	}
	if porcupine.CheckOperationsTimeout(registerModel, operations, historyLimit) == porcupine.Illegal {
		c.report(ruleConfig, "no order of the %d changes explains their answers", len(operations))
	}
}
