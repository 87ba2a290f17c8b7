package soak

import (
	"net/http"
	"strings"

	"rowanshunt/internal/simnet"
)

// itemText is the result of an item that was done.
func itemText(id string) string {
	var events []string
	for n := 1; n <= eventsOf(id); n++ {
		events = append(events, simnet.EventData(id, n))
	}
	return strings.Join(events, "\n")
}

// checkJobs goes through what clients saw of each batch job.
func (c *checker) checkJobs() {
	for _, job := range c.Jobs {
		if job.Accepted == 0 {
			c.checkRefusedJob(job)
			continue
		}
		c.checkReads(job)
		c.checkFinal(job)
		c.checkCancelled(job)
	}
}

// checkRefusedJob: a job that was refused at every try never runs.
func (c *checker) checkRefusedJob(job *Job) {
	if job.Unclear || job.Sent == 0 {
		return
	}
	for _, item := range job.Items {
		if runs := completedOrNot(c.runsByID[item.ID]); len(runs) > 0 {
			c.report(ruleRefused, "%s ran although its job was refused each time", item.ID)
		}
	}
}

// checkReads: an accepted job is there, and its results stay what and where they are.
func (c *checker) checkReads(job *Job) {
	items := map[string]bool{}
	for _, item := range job.Items {
		items[item.ID] = true
	}
	reads := job.Reads
	if job.Final != nil {
		reads = append(append([]JobRead{}, reads...), *job.Final)
	}
	at := map[int]Result{}
	position := map[string]int{}
	for _, read := range reads {
		if read.Status == http.StatusNotFound || read.Status == http.StatusGone {
			if read.Sent >= job.Accepted.Add(settleBound) && read.At < job.Sent.Add(pollBound) && c.inTouch(read.Node, read.Sent, read.At) {
				c.report(ruleLost, "%s answers %d for job %s at %s", read.Node, read.Status, job.ID, c.sinceLoad(read.Sent))
			}
			continue
		}
		for i, result := range read.Results {
			c.checkResult(job, items, result)
			place := read.Start + i
			if before, ok := at[place]; ok && before != result {
				c.report(ruleTwice, "job %s, position %d: first %v, then %v", job.ID, place, before, result)
			}
			if before, ok := position[result.ID]; ok && before != place {
				c.report(ruleTwice, "job %s: item %s is at positions %d and %d", job.ID, result.ID, before, place)
			}
			at[place], position[result.ID] = result, place
		}
	}
}

// checkResult: a result is of an item of the job, and is its whole output.
func (c *checker) checkResult(job *Job, items map[string]bool, result Result) {
	invalid := strings.HasPrefix(result.ID, invalidItem)
	switch {
	case !items[result.ID]:
		c.report(ruleMixed, "job %s lists item %s", job.ID, result.ID)
	case result.Phase == phaseDone && (invalid || result.Text != itemText(result.ID)):
		c.report(ruleMixed, "item %s is done with %q, want %q", result.ID, result.Text, itemText(result.ID))
	case result.Phase == phaseGaveUp && !invalid && job.CancelSent == 0:
		c.report(ruleMixed, "item %s was given up, and no worker refused it", result.ID)
	}
}

// checkFinal: after all trouble each item of a job that was not cancelled has one result.
func (c *checker) checkFinal(job *Job) {
	switch {
	case job.Final == nil:
		c.report(ruleLost, "job %s, accepted at %s, is not answered at the end", job.ID, c.sinceLoad(job.Accepted))
	case job.CancelSent != 0:
	case job.Final.Total != len(job.Items) || len(job.Final.Results) != len(job.Items):
		c.report(ruleResults, "job %s has %d results of %d items, and says %d", job.ID, len(job.Final.Results), len(job.Items), job.Final.Total)
	}
}

// checkCancelled: no item of a cancelled job reaches a worker later than cancel_ms after
// the acknowledgement.
func (c *checker) checkCancelled(job *Job) {
	if job.CancelAcked == 0 {
		return
	}
	bound := job.CancelAcked.Add(cancelBound)
	for _, item := range job.Items {
		for _, run := range completedOrNot(c.runsByID[item.ID]) {
			if run.Started > bound {
				c.report(ruleUnasked, "%s ran %v after its job's end was acknowledged", item.ID, run.Started.Sub(job.CancelAcked).Duration())
			}
		}
	}
}
