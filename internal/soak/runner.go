package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"rowanshunt/internal/clock"
)

const (
	submitters = 3
	operators  = 2
	// patience ends waits for which the rules have no bound, so that a run comes to its end.
	patience      = 2 * clock.Minute
	servedWindow  = 2 * clock.Second // over which it is judged whether requests are served again
	finalReaders  = 8
	restAfterLoad = (idleSeconds + 1) * clock.Second // idle connections are closed by then
	pollPeriod    = 100 * clock.Millisecond
)

// Options say how a run is carried out.
type Options struct {
	Program string // the program under test
	Folder  string // of the run, which leaves nothing else in it
	Keep    bool   // the folder, also of a run that held
}

// Outcome is what came of a run.
type Outcome struct {
	Plan       *Plan
	Violations []Violation
	Counts     Counts
	// Folder holds the plan, the observations and the nodes' logs of a run that broke a
	// rule; it is removed otherwise.
	Folder string
}

// Counts say how much a run did.
type Counts struct {
	Processes, Requests, Served, Runs, Jobs, Items, Changes int
	// Slowed is how often a process lacked the processor: rules with a bound do not hold
	// around these moments.
	Slowed       int
	Disturbances map[DisturbanceKind]int
}

// Execute carries a plan out and checks what was seen. An error says that the deployment could
// not be started, or the run could not be kept.
func Execute(ctx context.Context, plan *Plan, options Options) (*Outcome, error) {
	folder, err := filepath.Abs(options.Folder)
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	r := &runner{plan: plan, record: &Record{}}
	if r.system, err = newSystem(plan, options.Program, folder, r.record); err != nil {
		return nil, err
	}
	defer r.system.release()
	defer r.system.killAll()
	r.fleet = &fleet{record: r.record, squeezed: map[string]*worker{}, ctlOf: func(n uint64) string { return r.edge(n).ctlAddr() }}
	defer r.fleet.stopAll()
	if err := r.start(ctx); err != nil {
		return nil, errors.Wrapf(err, "the deployment of seed %d does not start; its logs are in %s", plan.Seed, folder)
	}
	var watches conc.WaitGroup
	watching, stopWatching := context.WithCancel(ctx)
	defer watches.Wait()
	defer stopWatching()
	watch := &hostWatch{record: r.record, processes: r.system.all}
	watches.Go(func() { watch.watchSelf(watching) })
	watches.Go(func() { watch.watchNodes(watching) })
	r.load(ctx)
	r.finish(ctx)
	stopWatching()
	watches.Wait() // nothing writes observations any more
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	outcome := &Outcome{Plan: plan, Folder: folder, Counts: r.counts()}
	outcome.Violations = Check(&r.record.observations)
	if len(outcome.Violations) == 0 && !options.Keep {
		outcome.Folder = ""
		return outcome, os.RemoveAll(folder)
	}
	return outcome, r.keep(folder, outcome.Violations)
}

// runner is one run of a plan.
type runner struct {
	plan      *Plan
	record    *Record
	system    *system
	fleet     *fleet
	platform  *platform
	submitter []*submitter
	operator  []*operator
}

// edge is an edge node that a caller with a number turns to.
func (r *runner) edge(n uint64) nodeSpec { return r.system.edges[n%uint64(len(r.system.edges))].spec }

func (r *runner) edgeSpecs() []nodeSpec {
	var specs []nodeSpec
	for _, edge := range r.system.edges {
		specs = append(specs, edge.spec)
	}
	return specs
}

// rng is a source of random numbers of its own for each part of a run.
func (r *runner) rng(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.plan.Seed, part)) }

// start starts the nodes, sets the first configuration and starts the workers.
func (r *runner) start(parent context.Context) error {
	ctx, cancel := context.WithTimeout(parent, patience.Duration())
	defer cancel()
	if err := r.system.startAll(); err != nil {
		return err
	}
	for i := range operators {
		r.operator = append(r.operator, &operator{number: i, rng: r.rng(uint64(100 + i)), nodes: r.edge, record: r.record})
	}
	for i := range submitters {
		r.submitter = append(r.submitter, &submitter{number: i, rng: r.rng(uint64(200 + i)), nodes: r.edge, record: r.record})
	}
	if !r.operator[0].first(ctx) {
		return errors.New("the first configuration is not acknowledged")
	}
	if !r.awaitReady(ctx) {
		return errors.New("not all edge nodes become ready")
	}
	for i := range 2 * r.plan.Workers {
		service := []string{streamService, singleService}[i%2]
		if err := r.fleet.startWorker(i, service, r.plan.Slots); err != nil {
			return err
		}
	}
	clock.Sleep(ctx, contactBound.Duration())
	return nil
}

// awaitReady waits until all edge nodes are ready, false if the context ends before.
func (r *runner) awaitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		ready := 0
		for _, edge := range r.edgeSpecs() {
			if status, _ := call(ctx, http.MethodGet, "http://"+edge.readyAddr()+"/-/readyz", nil, nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(r.system.edges) {
			return true
		}
		clock.Sleep(ctx, pollPeriod.Duration())
	}
	return false
}

// load sends requests, jobs and changes while the plan is carried out, and until service is
// back after it.
func (r *runner) load(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	changing, stopChanging := context.WithTimeout(ctx, r.plan.Load().Duration())
	defer stopChanging()
	var group conc.WaitGroup
	before := r.levels()
	began := clock.Now()
	r.record.add(func(o *Observations) { o.Before, o.LoadFrom = before, began })
	r.platform = &platform{misses: map[string]int{}, nodes: r.edgeSpecs()}
	group.Go(func() { r.platform.watch(ctx, r.edgeSpecs) })
	for i := range r.plan.Clients {
		c := &client{number: i, rng: r.rng(uint64(1000 + i)), platform: r.platform, record: r.record}
		group.Go(func() { c.run(ctx) })
	}
	for _, s := range r.submitter {
		group.Go(func() { s.run(changing, ctx) })
	}
	for _, o := range r.operator {
		group.Go(func() { o.run(changing) })
	}
	d := &disturber{plan: r.plan, system: r.system, fleet: r.fleet, record: r.record, nodes: r.edge, busy: map[*process]*sync.Mutex{}, losses: newLossCount(r.plan.MaxFailures)}
	d.run(ctx)
	<-changing.Done()
	r.awaitService(ctx)
	r.record.add(func(o *Observations) { o.LoadUntil = clock.Now() })
	cancel()
	group.Wait()
}

// awaitService starts what does not run and waits until requests are served again, for
// recover_s at most; what is sent from then on is judged by the rules.
func (r *runner) awaitService(ctx context.Context) {
	for _, p := range r.system.all() {
		if err := p.start(false); err != nil {
			r.record.addNode(p.spec.name, NodeStarted, err.Error())
		}
	}
	back := clock.Now()
	if !r.awaitReturn(ctx, back) {
		return
	}
	for from := clock.Now(); ; from = clock.Now() {
		clock.Sleep(ctx, servedWindow.Duration())
		if r.served(from) || clock.Since(back) > recoverBound || ctx.Err() != nil {
			settled := from
			r.record.add(func(o *Observations) { o.Settled = settled })
			return
		}
	}
}

// awaitReturn waits until all edge nodes are ready again, for recover_s; on a machine that
// was slowed meanwhile for longer.
func (r *runner) awaitReturn(ctx context.Context, back clock.Instant) bool {
	within, cancel := context.WithTimeout(ctx, recoverBound.Duration())
	defer cancel()
	if r.awaitReady(within) {
		return true
	}
	slowed := false
	r.record.add(func(o *Observations) {
		for _, event := range o.Nodes {
			slowed = slowed || event.What == HostSlowed && event.At >= back
		}
	})
	if !slowed {
		return false
	}
	longer, cancelLonger := context.WithTimeout(ctx, patience.Duration())
	defer cancelLonger()
	return r.awaitReady(longer)
}

// served tells whether at least a quarter of the requests sent since a moment was served.
func (r *runner) served(from clock.Instant) (enough bool) {
	r.record.add(func(o *Observations) {
		settled := o.Settled
		o.Settled = from
		c := &checker{Observations: o}
		c.checkRecovery()
		o.Settled = settled
		enough = len(c.violations) == 0
	})
	return enough
}

// finish reads back what was acknowledged, looks at the processes and stops them in order.
func (r *runner) finish(ctx context.Context) {
	r.readJobs(ctx)
	final, cancel := context.WithTimeout(ctx, patience.Duration())
	for final.Err() == nil && r.operator[0].read(final, true).Status != http.StatusOK {
		clock.Sleep(final, pollPeriod.Duration())
	}
	cancel()
	clock.Sleep(ctx, restAfterLoad.Duration())
	after := r.levels()
	r.record.add(func(o *Observations) { o.After = after })
	var stops conc.WaitGroup
	for _, p := range r.system.all() {
		stops.Go(func() { p.stop(ctx) })
	}
	stops.Wait()
	for _, p := range r.system.everUsed() {
		if line := p.logFault(); line != "" {
			r.record.addNode(p.spec.name, NodeEnded, line)
		}
	}
}

// readJobs reads all accepted jobs to their end.
func (r *runner) readJobs(parent context.Context) {
	ctx, cancel := context.WithTimeout(parent, patience.Duration())
	defer cancel()
	var jobs []*Job
	r.record.add(func(o *Observations) { jobs = append(jobs, o.Jobs...) })
	queue := make(chan *Job)
	var group conc.WaitGroup
	for i := range finalReaders {
		reader := &submitter{number: submitters + i, rng: r.rng(uint64(300 + i)), nodes: r.edge, record: r.record}
		group.Go(func() {
			for job := range queue {
				reader.readAll(ctx, job)
			}
		})
	}
	for _, job := range jobs {
		if job.Accepted != 0 {
			queue <- job
		}
	}
	close(queue)
	group.Wait()
}

// levels reads what each process holds.
func (r *runner) levels() []Levels {
	var all []Levels
	for _, p := range r.system.all() {
		if levels, ok := p.levels(); ok {
			all = append(all, levels)
		}
	}
	return all
}

// counts says how much the run did.
func (r *runner) counts() Counts {
	o := &r.record.observations
	counts := Counts{Processes: len(r.system.everUsed()), Requests: len(o.Requests), Runs: len(o.Runs), Jobs: len(o.Jobs), Changes: len(o.Changes),
		Disturbances: map[DisturbanceKind]int{}}
	for i := range o.Requests {
		if o.Requests[i].Status/100 == 2 && o.Requests[i].Complete {
			counts.Served++
		}
	}
	for _, job := range o.Jobs {
		counts.Items += len(job.Items)
	}
	for _, event := range o.Nodes {
		if event.What == HostSlowed {
			counts.Slowed++
		}
	}
	for _, disturbance := range r.plan.Disturbances {
		counts.Disturbances[disturbance.Kind]++
	}
	return counts
}

// keep writes what a run that broke a rule leaves in its folder.
func (r *runner) keep(folder string, violations []Violation) error {
	text := ""
	for _, violation := range violations {
		text += violation.String() + "\n"
	}
	if err := os.WriteFile(filepath.Join(folder, "violations.txt"), []byte(text), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "plan.toml"), []byte(r.plan.String()), 0o644); err != nil {
		return err
	}
	return r.record.write(filepath.Join(folder, "observations.json"))
}
