package soak

import (
	"net/http"
	"strings"
	"testing"

	"rowanshunt/internal/clock"
)

// at is a moment of the test's run, in seconds since the load began.
func at(seconds float64) clock.Instant {
	return clock.Instant(1_000_000_000).Add(clock.Micros(seconds * 1e6))
}

// sound is what a run without any fault sees: a request of each kind, a job, and changes.
func sound() *Observations {
	o := &Observations{LoadFrom: at(0), LoadUntil: at(60), Settled: at(50), CoreNodes: []string{"edge-1", "edge-2"}, StoreNodes: []string{"store-1"}}
	for i, spec := range clientRoutes {
		id := "c-" + string(spec.kind)
		o.Requests = append(o.Requests, Request{ID: id, Node: "edge-1", Target: spec.prefix() + id, Body: "prompt of " + id, Kind: spec.kind, Tries: spec.tries,
			Sent: at(20 + float64(i)), Deadline: at(24 + float64(i)), Ended: at(20.5 + float64(i)), Status: http.StatusOK, Seal: "seal." + id,
			Text: expectedText(spec.kind, id), Complete: true})
		o.Runs = append(o.Runs, Run{Worker: "w-1", Service: singleService, ID: id, Target: spec.prefix() + id, Body: "prompt of " + id,
			Started: at(20.1 + float64(i)), Ended: at(20.5 + float64(i)), End: RunCompleted})
	}
	moved := o.Requests[2]
	moved.ID, moved.Target, moved.Body, moved.Sent, moved.Ended = "c-moved", movedPrefix+"c-moved", "prompt of c-moved", at(30), at(30.2)
	moved.Seal, moved.Text, moved.Deadline = "seal.c-moved", expectedText(Safe, "c-moved"), at(34)
	o.Requests = append(o.Requests, moved)
	o.Runs = append(o.Runs, Run{Worker: "w-2", Service: streamService, ID: moved.ID, Target: moved.Target, Body: moved.Body, Started: at(30.1), Ended: at(30.2), End: RunCompleted})
	last := o.Requests[2]
	last.ID, last.Target, last.Body, last.Sent, last.Ended, last.Deadline = "c-last", "/safe/c-last", "prompt of c-last", at(51), at(51.2), at(55)
	last.Seal, last.Text = "seal.c-last", expectedText(Safe, "c-last")
	o.Requests = append(o.Requests, last)
	o.Runs = append(o.Runs, Run{Worker: "w-1", Service: singleService, ID: last.ID, Target: last.Target, Body: last.Body, Started: at(51.1), Ended: at(51.2), End: RunCompleted})
	o.Changes = []Change{
		{Base: 0, Version: 1, Marker: markerOf(0, 1), MovedTo: singleService, Sent: at(-5), Answered: at(-4.5), Status: http.StatusOK},
		{Base: 1, Version: 3, Marker: markerOf(0, 2), MovedTo: streamService, Sent: at(10), Answered: at(10.1), Status: http.StatusOK},
		{Operator: 1, Base: 1, Version: 2, Marker: markerOf(1, 1), MovedTo: singleService, Sent: at(10), Answered: at(10.2), Status: http.StatusPreconditionFailed},
	}
	o.ConfigReads = []ConfigRead{{Node: "edge-1", Sent: at(55), At: at(55.1), Status: http.StatusOK, Version: 3, Marker: markerOf(0, 2), Final: true}}
	job := &Job{ID: "j", Sent: at(15), Accepted: at(15.1)}
	for _, id := range []string{"j-i0", "j-i1"} {
		job.Items = append(job.Items, Item{ID: id, Target: batchPrefix + id, Body: "item " + id})
		o.Runs = append(o.Runs, Run{Worker: "w-1", Service: streamService, ID: id, Target: batchPrefix + id, Body: "item " + id, Started: at(16), Ended: at(17), End: RunCompleted})
	}
	results := []Result{{"j-i1", phaseDone, itemText("j-i1")}, {"j-i0", phaseDone, itemText("j-i0")}}
	job.Reads = []JobRead{{Node: "edge-2", Sent: at(18), At: at(18.1), Status: http.StatusOK, Results: results[:1], Total: 2}}
	job.Final = &JobRead{Node: "edge-1", Sent: at(56), At: at(56.1), Status: http.StatusOK, Results: results, Total: 2}
	o.Jobs = []*Job{job}
	o.Nodes = []NodeEvent{{Node: "edge-1", At: at(-10), What: NodeStarted}, {Node: "store-1", At: at(-10), What: NodeStarted}}
	o.Before = []Levels{{Node: "edge-1", Descriptors: 30, MemoryMb: 40}}
	o.After = []Levels{{Node: "edge-1", Descriptors: 35, MemoryMb: 60}}
	return o
}

// cut ends a request in the middle of its response, beside an event at its node.
func cut(o *Observations, request int, what string) *Request {
	r := &o.Requests[request]
	r.Complete, r.Text = false, r.Text[:len(r.Text)/2]
	if r.Kind.Streams() {
		r.Text = expectedEvents(r.ID, 1)
	}
	o.Runs[request].End, o.Runs[request].Ended = RunDropped, r.Ended
	o.Nodes = append(o.Nodes, NodeEvent{Node: r.Node, At: r.Sent.Add(100 * clock.Millisecond), What: what})
	return r
}

// Each check finds the fault that it is there for, and finds none in a sound run.
func TestChecksFindFaults(t *testing.T) {
	for _, tc := range []struct {
		name, rule string // "": nothing is found
		edit       func(o *Observations)
	}{
		{"a sound run", "", func(*Observations) {}},
		{"a stream is cut beside a SIGTERM", ruleLost, func(o *Observations) { cut(o, 0, NodeTerminate) }},
		{"a single response is cut beside a SIGHUP", ruleLost, func(o *Observations) { cut(o, 2, NodeReload) }},
		{"a request that was not passed on is dropped late beside a SIGTERM", ruleLost, func(o *Observations) {
			r := cut(o, 3, NodeTerminate)
			r.Status, r.Text = 0, ""
			o.Runs[3].ID, o.Runs[3].Target, o.Runs[3].Body = "j-i0", batchPrefix+"j-i0", "item j-i0"
		}},
		{"a stream is cut without planned work", "", func(o *Observations) { cut(o, 0, NodeStarted) }},
		{"a stream is cut beside a SIGTERM and a kill", "", func(o *Observations) {
			cut(o, 0, NodeTerminate)
			o.Nodes = append(o.Nodes, NodeEvent{Node: "edge-2", At: at(19), What: NodeKill})
		}},
		{"a worker breaks off beside a SIGTERM", "", func(o *Observations) {
			cut(o, 0, NodeTerminate)
			o.Runs[0].End = RunBrokenOff
		}},
		{"an accepted job is not there", ruleLost, func(o *Observations) {
			o.Jobs[0].Reads[0] = JobRead{Node: "edge-2", Sent: at(18), At: at(18.1), Status: 404}
		}},
		{"an accepted job cannot be read at the end", ruleLost, func(o *Observations) { o.Jobs[0].Final = nil }},
		{"a request that is not repeatable runs twice", ruleTwice, func(o *Observations) { o.Runs = append(o.Runs, o.Runs[3]) }},
		{"a position holds another result", ruleTwice, func(o *Observations) {
			final := o.Jobs[0].Final
			final.Results = []Result{final.Results[1], final.Results[0]}
		}},
		{"a changed body runs", ruleUnasked, func(o *Observations) { o.Runs[2].Body += "x" }},
		{"an unknown request runs", ruleUnasked, func(o *Observations) { o.Runs[2].ID = "nobody" }},
		{"an item runs after the end of its job", ruleUnasked, func(o *Observations) { o.Jobs[0].CancelSent, o.Jobs[0].CancelAcked = at(11), at(12) }},
		{"a success without a seal", ruleMixed, func(o *Observations) { o.Requests[2].Seal = "" }},
		{"the answer to another request", ruleMixed, func(o *Observations) { o.Requests[2].Text = expectedText(Safe, "c-other") }},
		{"a result without its end", ruleMixed, func(o *Observations) { o.Jobs[0].Final.Results[1].Text = "x" }},
		{"a result of another job", ruleMixed, func(o *Observations) { o.Jobs[0].Final.Results[1].ID = "k-i0" }},
		{"an item is given up that no worker refused", ruleMixed, func(o *Observations) { o.Jobs[0].Final.Results[1].Phase = phaseGaveUp }},
		{"a request that ran is refused", ruleRefused, func(o *Observations) { o.Requests[3].Status = 503 }},
		{"an item of a refused job runs", ruleRefused, func(o *Observations) { o.Jobs[0].Accepted = 0 }},
		{"an event is missing", ruleOrder, func(o *Observations) {
			o.Requests[0].Text = strings.Replace(o.Requests[0].Text, eventText(o.Requests[0].ID, 2), "", 1)
		}},
		{"a stream ends as complete before its last event", ruleOrder, func(o *Observations) { o.Requests[1].Text = expectedEvents(o.Requests[1].ID, 1) }},
		{"requests run on too many workers", ruleBudget, func(o *Observations) {
			for i := range budgetExceptions + 1 {
				for _, worker := range []string{"w-7", "w-8", "w-9"} {
					run := o.Runs[2]
					run.ID += strings.Repeat("x", i)
					run.Target, run.Body, run.Worker = "/safe/"+run.ID, "prompt of "+run.ID, worker
					o.Runs = append(o.Runs, run)
				}
				request := o.Requests[2]
				request.ID += strings.Repeat("x", i)
				request.Target, request.Body, request.Seal, request.Text = "/safe/"+request.ID, "prompt of "+request.ID, "seal."+request.ID, expectedText(Safe, request.ID)
				if i > 0 {
					o.Requests = append(o.Requests, request)
				}
			}
		}},
		{"an old configuration is shown", ruleConfig, func(o *Observations) { o.ConfigReads[0].Version, o.ConfigReads[0].Marker = 1, markerOf(0, 1) }},
		{"a configuration is shown that lost", ruleConfig, func(o *Observations) { o.ConfigReads[0].Version, o.ConfigReads[0].Marker = 2, markerOf(1, 1) }},
		{"the configuration cannot be read at the end", ruleConfig, func(o *Observations) { o.ConfigReads = nil }},
		{"two changes on one version are acknowledged", ruleConfig, func(o *Observations) { o.Changes[2].Status = http.StatusOK }},
		{"a change is refused that nothing stands against", ruleConfig, func(o *Observations) {
			o.Changes[1].Status = http.StatusPreconditionFailed
			o.ConfigReads[0].Version, o.ConfigReads[0].Marker = 1, markerOf(0, 1)
		}},
		{"an old service runs a request", ruleConfig, func(o *Observations) { o.Runs[4].Service = singleService }},
		{"nothing is served after the return of all", ruleRecover, func(o *Observations) { o.Requests[5].Status, o.Requests[5].Seal = 503, "" }},
		{"the nodes do not return", ruleRecover, func(o *Observations) { o.Settled = 0 }},
		{"a process ends by itself", ruleProcess, func(o *Observations) {
			o.Nodes = append(o.Nodes, NodeEvent{Node: "store-1", At: at(30), What: NodeEnded, Fault: "ended by itself"})
		}},
		{"a process takes longer than grace_s to stop", ruleProcess, func(o *Observations) {
			o.Nodes = append(o.Nodes, NodeEvent{Node: "store-1", At: at(40), What: NodeOverdue})
		}},
		{"a process on a slowed machine takes longer to stop", "", func(o *Observations) {
			o.Nodes = append(o.Nodes, NodeEvent{Node: "store-1", At: at(40), What: NodeOverdue}, NodeEvent{At: at(38), What: HostSlowed})
		}},
		{"descriptors are left open", ruleLevels, func(o *Observations) { o.After[0].Descriptors = 500 }},
		{"memory is over the machine's", ruleLevels, func(o *Observations) { o.After[0].MemoryMb = edgeMemoryMb + 1 }},
		{"an item has no result", ruleResults, func(o *Observations) { o.Jobs[0].Final.Results = o.Jobs[0].Final.Results[:1] }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := sound()
			tc.edit(o)
			violations := Check(o)
			found := false
			for _, violation := range violations {
				found = found || violation.Rule == tc.rule
			}
			if tc.rule == "" && len(violations) > 0 || tc.rule != "" && !found {
				t.Errorf("want %q, found %v", tc.rule, violations)
			}
		})
	}
}
