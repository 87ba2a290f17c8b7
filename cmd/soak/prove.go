package main

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sourcegraph/conc/pool"

	"rowanshunt/internal/soak"
	"rowanshunt/internal/soak/defects"
)

// proveOptions are the flags and arguments of prove.
type proveOptions struct {
	source, work string
	names        []string
	first, limit uint64
	jobs         int
}

func (o *proveOptions) addTo(app *kingpin.Application) *kingpin.CmdClause {
	prove := app.Command("prove", "Build the program with one seeded defect after the other, run seeds until the broken rule is named, and print a table. Exit code 3: a defect was not found.")
	prove.Flag("source", "Root of the module.").Default(".").StringVar(&o.source)
	prove.Flag("work", "Folder for the builds and the runs; it must be new.").Default("run/prove").StringVar(&o.work)
	prove.Flag("first", "First seed.").Default("1").Uint64Var(&o.first)
	prove.Flag("limit", "Seeds to run at most for a defect.").Default("20").Uint64Var(&o.limit)
	prove.Flag("jobs", "Defects at a time.").Default("1").IntVar(&o.jobs)
	prove.Arg("defect", "Names of the defects; all without one.").StringsVar(&o.names)
	return prove
}

// run proves the defects and prints the row of each as soon as it is there.
func (o *proveOptions) run(ctx context.Context, limits soak.Settings) (exitCode int, err error) {
	all, err := defects.Read(filepath.Join(o.source, "internal", "soak", "defects", "testdata", "defects.toml"))
	if err != nil {
		return exitError, err
	}
	selected, err := defects.Select(all, o.names)
	if err != nil {
		return exitError, err
	}
	prover := &defects.Prover{Source: o.source, Work: o.work, Settings: limits, First: o.first, Limit: o.limit}
	fmt.Println(defects.TableHeader)
	runs := pool.NewWithResults[bool]().WithErrors().WithMaxGoroutines(max(o.jobs, 1))
	for i := range selected {
		runs.Go(func() (found bool, err error) {
			finding, err := prover.Prove(ctx, &selected[i])
			if err != nil {
				fmt.Printf("| `%s` | could not run: %v |\n", selected[i].Name, err)
				return false, err
			}
			fmt.Println(finding.Row())
			return finding.Rule != "", nil
		})
	}
	found, err := runs.Wait()
	if err != nil {
		return exitError, err
	}
	if slices.Contains(found, false) {
		return exitBroken, nil
	}
	return 0, nil
}
