// Command soak runs deployments of real processes under drawn disturbances and checks
// what was seen against the rules (docs/soak.md).
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sourcegraph/conc/pool"

	"rowanshunt/internal/settings"
	"rowanshunt/internal/soak"
)

// Exit codes.
const (
	exitError  = 1
	exitBroken = 3 // a run broke a rule
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code, err := execute(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		code = exitError
	}
	os.Exit(code)
}

// options are the flags and arguments.
type options struct {
	settingsFile, program, out string
	seed, from, to             uint64
	jobs                       int
	keep                       bool
	prove                      proveOptions
}

// execute carries out a command line.
func execute(ctx context.Context, args []string) (exitCode int, err error) {
	var o options
	app := kingpin.New("soak", "Runs deployments of real processes under drawn disturbances. Exit code 3: a rule was broken.")
	app.Flag("settings", "TOML file with the length and size of the runs; without it as in CI.").StringVar(&o.settingsFile)
	plan := app.Command("plan", "Write the plan of a seed to standard output.")
	plan.Arg("seed", "Seed of the plan.").Required().Uint64Var(&o.seed)
	one := app.Command("run", "Run one seed.")
	one.Arg("seed", "Seed of the plan.").Required().Uint64Var(&o.seed)
	many := app.Command("many", "Run a range of seeds.")
	many.Arg("from", "First seed.").Required().Uint64Var(&o.from)
	many.Arg("to", "Last seed.").Required().Uint64Var(&o.to)
	many.Flag("jobs", "Runs at a time.").Default("1").IntVar(&o.jobs)
	one.Flag("keep", "Keep the folder also if the run held.").BoolVar(&o.keep)
	for _, command := range []*kingpin.CmdClause{one, many} {
		command.Flag("program", "The program under test.").Default("target/rowanshunt").StringVar(&o.program)
		command.Flag("out", "Folder in which runs that broke a rule are kept.").Default("run/soak").StringVar(&o.out)
	}
	prove := o.prove.addTo(app)
	selected, code, ended := settings.ParseLine(app, args)
	if ended {
		return code, nil
	}
	limits := soak.DefaultSettings()
	if o.settingsFile != "" {
		if limits, err = soak.ReadSettings(o.settingsFile); err != nil {
			return exitError, err
		}
	}
	switch selected {
	case plan.FullCommand():
		fmt.Print(soak.DrawPlan(limits, o.seed))
		return 0, nil
	case prove.FullCommand():
		return o.prove.run(ctx, limits)
	case one.FullCommand():
		o.from, o.to, o.jobs = o.seed, o.seed, 1
	}
	return o.runSeeds(ctx, limits)
}

// runSeeds runs all seeds of the range and prints a line for each, and a summary.
func (o *options) runSeeds(ctx context.Context, limits soak.Settings) (exitCode int, err error) {
	if err := os.MkdirAll(o.out, 0o755); err != nil {
		return exitError, err
	}
	var total summary
	runs := pool.New().WithErrors().WithMaxGoroutines(max(o.jobs, 1))
	for seed := o.from; seed <= o.to; seed++ {
		runs.Go(func() error {
			began := time.Now()
			folder, err := os.MkdirTemp(o.out, fmt.Sprintf("seed-%d-", seed))
			if err != nil {
				return err
			}
			outcome, err := soak.Execute(ctx, soak.DrawPlan(limits, seed), soak.Options{Program: o.program, Folder: folder, Keep: o.keep})
			if err != nil {
				fmt.Printf("seed %d: %v\n", seed, err)
				return err
			}
			total.add(outcome)
			printOutcome(outcome, time.Since(began))
			return nil
		})
	}
	err = runs.Wait()
	fmt.Println(total.String())
	if total.broken > 0 {
		return exitBroken, err
	}
	return 0, err
}

// printOutcome prints one run.
func printOutcome(outcome *soak.Outcome, took time.Duration) {
	counts := outcome.Counts
	fmt.Printf("seed %d: %d processes, %d requests (%d served), %d runs, %d jobs, %d changes, %d disturbances, slowed %d times, %.0f s: ", outcome.Plan.Seed, counts.Processes,
		counts.Requests, counts.Served, counts.Runs, counts.Jobs, counts.Changes, len(outcome.Plan.Disturbances), counts.Slowed, took.Seconds())
	if len(outcome.Violations) == 0 {
		fmt.Println("held")
		return
	}
	fmt.Printf("%d violations, kept in %s\n", len(outcome.Violations), outcome.Folder)
	for i, violation := range outcome.Violations {
		if i == 10 {
			fmt.Println("  ...")
			break
		}
		fmt.Println(" ", violation)
	}
	fmt.Println(outcome.Plan)
}

// summary sums up runs. Its methods may be called by several goroutines.
type summary struct {
	mu                                             sync.Mutex
	runs, broken                                   int
	requests, served, jobs, items, changes, slowed int
	disturbances                                   map[soak.DisturbanceKind]int
}

// add counts one run.
func (s *summary) add(outcome *soak.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disturbances == nil {
		s.disturbances = map[soak.DisturbanceKind]int{}
	}
	s.runs++
	if len(outcome.Violations) > 0 {
		s.broken++
	}
	counts := outcome.Counts
	s.requests += counts.Requests
	s.served += counts.Served
	s.jobs += counts.Jobs
	s.items += counts.Items
	s.changes += counts.Changes
	s.slowed += counts.Slowed
	for kind, count := range counts.Disturbances {
		s.disturbances[kind] += count
	}
}

// String is the summary on one line.
func (s *summary) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kinds []string
	for kind, count := range s.disturbances {
		kinds = append(kinds, fmt.Sprintf("%s %d", kind, count))
	}
	sort.Strings(kinds)
	return fmt.Sprintf("%d runs, %d broke a rule: %d requests (%d served), %d jobs of %d items, %d changes, slowed %d times; %s",
		s.runs, s.broken, s.requests, s.served, s.jobs, s.items, s.changes, s.slowed, strings.Join(kinds, ", "))
}
