package soak

import (
	"strings"

	"rowanshunt/internal/clock"
)

// budgetExceptions is how many requests may run on more workers than their route allows.
const budgetExceptions = 3

// checkRequests goes through what clients and workers saw of each request.
func (c *checker) checkRequests() {
	known := map[string]*Request{}
	for i := range c.Requests {
		known[c.Requests[i].ID] = &c.Requests[i]
	}
	c.checkUnasked(known)
	overBudget := 0
	for i := range c.Requests {
		request := &c.Requests[i]
		runs := completedOrNot(c.runsByID[request.ID])
		if !request.Kind.Repeatable() && len(runs) > 1 {
			c.report(ruleTwice, "%s ran %d times", request.ID, len(runs))
		}
		if !request.Kind.Repeatable() && len(runs) > 0 && promisesNotRun(request.Status) {
			c.report(ruleRefused, "%s ran at %s and was answered %d", request.ID, runs[0].Worker, request.Status)
		}
		if len(distinctWorkers(runs)) > request.Tries {
			overBudget++
		}
		c.checkText(request)
	}
	if overBudget > budgetExceptions {
		c.report(ruleBudget, "%d requests ran on more workers than their route's tries", overBudget)
	}
}

// completedOrNot leaves out what a worker rejected.
func completedOrNot(all []*Run) []*Run {
	var runs []*Run
	for _, run := range all {
		if run.End != RunRejected {
			runs = append(runs, run)
		}
	}
	return runs
}

// distinctWorkers are those that ran a request, without those that crashed meanwhile.
func distinctWorkers(runs []*Run) map[string]bool {
	workers := map[string]bool{}
	for _, run := range runs {
		if run.End != RunBrokenOff {
			workers[run.Worker] = true
		}
	}
	return workers
}

func promisesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// checkUnasked compares what workers ran with what was sent.
func (c *checker) checkUnasked(known map[string]*Request) {
	items := map[string]Item{}
	for _, job := range c.Jobs {
		for _, item := range job.Items {
			items[item.ID] = item
		}
	}
	for i := range c.Runs {
		run := &c.Runs[i]
		target, body := "", ""
		if request := known[run.ID]; request != nil {
			target, body = request.Target, request.Body
		} else if item, ok := items[run.ID]; ok {
			target, body = item.Target, item.Body
		}
		if run.Target != target || run.Body != body {
			c.report(ruleUnasked, "%s ran %q with %q and %q, sent were %q and %q", run.Worker, run.ID, run.Target, run.Body, target, body)
		}
	}
}

// checkText compares what a client got with what workers send.
func (c *checker) checkText(request *Request) {
	if request.Status/100 != 2 {
		return
	}
	// A route that moves reaches both services: the kind of response goes by the request.
	want := expectedText(request.Kind, request.ID)
	switch {
	case request.Seal != "seal."+request.ID:
		c.report(ruleMixed, "%s: seal %q", request.ID, request.Seal)
	case request.Complete && request.Text == want:
	case request.Kind.Streams() && (request.Complete || !isPrefixOfEvents(request.Text, want)):
		c.report(ruleOrder, "%s: complete %v, events %q, want %q", request.ID, request.Complete, request.Text, want)
	case request.Complete:
		c.report(ruleMixed, "%s: body %q, want %q", request.ID, request.Text, want)
	}
}

// isPrefixOfEvents tells whether a stream that was cut is the begin of the whole.
func isPrefixOfEvents(text, whole string) bool { return strings.HasPrefix(whole, text) }

// plannedWindow is when planned work at a node makes it bound to end what it has read.
type plannedWindow struct {
	what        string
	excusedFrom clock.Instant // a worker still at work then excuses a cut
}

// checkLost looks for requests that ended without an answer around planned work.
func (c *checker) checkLost() {
	for i := range c.Requests {
		request := &c.Requests[i]
		if request.Status != 0 && request.Complete || request.GaveUp || request.Ended >= request.Deadline {
			continue
		}
		runs := c.runsByID[request.ID]
		if len(runs) == 0 && request.Ended.Sub(request.Sent) <= lostBound {
			continue
		}
		if c.unplannedTrouble(request.Sent, request.Ended) || brokenOff(runs) {
			continue
		}
		if window := c.plannedAround(request); window != nil && !atWork(runs, window.excusedFrom) {
			c.report(ruleLost, "%s (%s) at %s: sent at %s, ended at %s with status %d and %d bytes, beside %s", request.ID, request.Kind, request.Node,
				c.sinceLoad(request.Sent), c.sinceLoad(request.Ended), request.Status, len(request.Text), window.what)
		}
	}
}

func brokenOff(runs []*Run) bool {
	for _, run := range runs {
		if run.End == RunBrokenOff {
			return true
		}
	}
	return false
}

// atWork tells whether a worker was still at work at a moment, 0 for never.
func atWork(runs []*Run, from clock.Instant) bool {
	for _, run := range runs {
		if from != 0 && run.End != RunRejected && run.Ended >= from {
			return true
		}
	}
	return false
}

// plannedAround is the planned work at the request's node in whose time it ended, nil if
// there is none.
func (c *checker) plannedAround(request *Request) *plannedWindow {
	for _, event := range c.eventsOf[request.Node] {
		switch event.What {
		case NodeTerminate:
			if request.Ended >= event.At && request.Sent <= event.At.Add(graceBound+clock.Second) && request.Ended <= event.At.Add(graceBound+clock.Second) {
				return &plannedWindow{what: "SIGTERM at " + c.sinceLoad(event.At), excusedFrom: event.At.Add(graceBound / 2)}
			}
		case NodeReload:
			if request.Ended >= event.At && request.Sent <= event.At.Add(applyBound) {
				return &plannedWindow{what: "SIGHUP at " + c.sinceLoad(event.At)}
			}
		}
	}
	return nil
}

// checkRecovery looks whether requests are served again after all nodes were lost.
func (c *checker) checkRecovery() {
	if c.Settled == 0 {
		c.report(ruleRecover, "not all nodes serve %v after the last of them was started", recoverBound.Duration())
		return
	}
	sent, served := 0, 0
	for i := range c.Requests {
		if request := &c.Requests[i]; request.Sent >= c.Settled {
			sent++
			if request.Status/100 == 2 && request.Complete {
				served++
			}
		}
	}
	if sent > 0 && 4*served < sent {
		c.report(ruleRecover, "%d of %d requests are served after the nodes are back", served, sent)
	}
}
