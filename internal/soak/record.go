package soak

import (
	"encoding/json"
	"os"
	"sync"

	"rowanshunt/internal/clock"
)

// RouteKind says how often a request of a route may run.
type RouteKind string

// The kinds.
const (
	Safe      RouteKind = "safe"      // a single response, any number of runs
	Unsafe    RouteKind = "unsafe"    // a single response, one run
	Streaming RouteKind = "streaming" // a stream of one run
	Resumable RouteKind = "resumable" // a stream that another worker may continue
)

// Repeatable tells whether a request may run more than once.
func (k RouteKind) Repeatable() bool { return k == Safe || k == Resumable }

// Streams tells whether the response is a stream.
func (k RouteKind) Streams() bool { return k == Streaming || k == Resumable }

// Request is what a client saw of one request.
type Request struct {
	ID, Node, Target, Body string
	Kind                   RouteKind
	Tries                  int
	Sent, Deadline, Ended  clock.Instant
	Status                 int // 0: no header came
	Seal                   string
	Text                   string // of the body, as far as it came
	Complete               bool   // the response ended as complete
	GaveUp                 bool   // the client ended it: it was silent for too long
}

// RunEnd is how a worker's run of a request ended.
type RunEnd string

// The ends.
const (
	RunCompleted RunEnd = "completed"
	RunDropped   RunEnd = "dropped"    // the caller closed the connection
	RunBrokenOff RunEnd = "broken_off" // the worker broke off
	RunRejected  RunEnd = "rejected"   // it did not run: the worker said so
)

// Run is what a worker saw of one request or batch item.
type Run struct {
	Worker, Service, ID, Target, Body string
	After                             int // the event behind which it was to continue
	Started, Ended                    clock.Instant
	End                               RunEnd
}

// NodeEvent is a signal to a node, its start, or its end.
type NodeEvent struct {
	Node string
	At   clock.Instant
	What string // see the constants
	// Fault says what was wrong with an end, "" if it was as it should be.
	Fault string
}

// What befell a node or a worker.
const (
	NodeStarted   = "started"
	NodeTerminate = "terminate"
	NodeReload    = "reload"
	NodeKill      = "kill"
	NodeFreeze    = "freeze"
	NodeThaw      = "thaw"
	NodeEnded     = "ended"
	NodeOverdue   = "overdue" // it has not ended grace_s after SIGTERM
	WorkerTrouble = "worker_trouble"
	// HostSlowed: a process lacked the processor for a while (hostWatch). Without a node it
	// was the soak's own, and all nodes count as slowed.
	HostSlowed = "host_slowed"
)

// Change is one configuration that an operator sent.
type Change struct {
	Operator       int
	Base, Version  int64
	Marker         string // name of a route that this configuration alone has
	MovedTo        string // the service of the moved route
	Sent, Answered clock.Instant
	Status         int // 200, 412, or 0 where no clear answer came
}

// ConfigRead is one read of the configuration.
type ConfigRead struct {
	Node     string
	Sent, At clock.Instant
	Status   int
	Version  int64
	Marker   string
	Final    bool // after all trouble
}

// Item is a batch item.
type Item struct{ ID, Target, Body string }

// Job is what a client saw of one batch job.
type Job struct {
	ID          string
	Items       []Item
	Sent        clock.Instant
	Accepted    clock.Instant // 0: it was not
	Unclear     bool          // some submission got no clear answer
	CancelSent  clock.Instant // 0: it was not cancelled
	CancelAcked clock.Instant
	Reads       []JobRead
	Final       *JobRead // after all trouble, nil if none was answered
}

// JobRead is one read of a job's results.
type JobRead struct {
	Node     string
	Sent, At clock.Instant
	Status   int
	Start    int // the position read from
	Results  []Result
	Total    int
}

// Result is one result of a batch item.
type Result struct{ ID, Phase, Text string }

// Levels are what a process held at a moment.
type Levels struct {
	Node        string
	Descriptors int
	Threads     int
	MemoryMb    int64
}

// Observations are all that a run saw. The checks read them and nothing else.
type Observations struct {
	LoadFrom, LoadUntil clock.Instant
	Requests            []Request
	Runs                []Run
	Nodes               []NodeEvent
	CoreNodes           []string // edge nodes with a disk
	StoreNodes          []string
	Changes             []Change
	ConfigReads         []ConfigRead
	Jobs                []*Job
	Before, After       []Levels
	Settled             clock.Instant // all nodes run again and serve, 0 if they do not
}

// Record collects observations. Any number of goroutines may write.
type Record struct {
	mu           sync.Mutex
	observations Observations
}

// add runs write on the observations.
func (r *Record) add(write func(*Observations)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	write(&r.observations)
}

func (r *Record) addRequest(request Request) {
	r.add(func(o *Observations) { o.Requests = append(o.Requests, request) })
}

func (r *Record) addRun(run Run) {
	r.add(func(o *Observations) { o.Runs = append(o.Runs, run) })
}

func (r *Record) addNode(node, what, fault string) {
	event := NodeEvent{Node: node, At: clock.Now(), What: what, Fault: fault}
	r.add(func(o *Observations) { o.Nodes = append(o.Nodes, event) })
}

// write saves the observations as JSON.
func (r *Record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	raw, err := json.MarshalIndent(&r.observations, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}
