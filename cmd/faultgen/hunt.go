package main

import (
	"context"
	"fmt"
	"sync"

	"rowanshunt/internal/faultgen"
)

// hunt plays days from the first seed on and prints a row for each as it ends.
func (w workspace) hunt(ctx context.Context, first uint64, days int, shrinks bool) (exitCode int, err error) {
	if err := w.prepare(); err != nil {
		return exitError, err
	}
	seeds := make([]uint64, days)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	var printing sync.Mutex
	outcomes := w.hunter.Hunt(ctx, seeds, func(o faultgen.Outcome) {
		printing.Lock()
		defer printing.Unlock()
		printOutcome(o)
	})
	return w.summarize(ctx, outcomes, shrinks)
}

func printOutcome(o faultgen.Outcome) {
	fmt.Printf("%-34s %4.0f s %3d entries  worth %.3f  served %.3f  %s\n", o.Day.Name, o.Day.LengthS,
		len(o.Day.Plan)+len(o.Day.Faults), o.Report.Worth, o.Report.Served, o.Verdict())
}

// summarize counts the days and shrinks the broken ones where that is asked for.
func (w workspace) summarize(ctx context.Context, outcomes []faultgen.Outcome, shrinks bool) (exitCode int, err error) {
	broke, failed := 0, 0
	for _, outcome := range outcomes {
		rules := outcome.Report.Rules()
		switch {
		case outcome.Err != nil:
			failed++
		case len(rules) > 0:
			broke++
			if !shrinks {
				continue
			}
			if err := w.shrink(ctx, outcome.Day, rules); err != nil {
				return exitError, err
			}
		}
	}
	fmt.Printf("%d days on %s: %d held, %d broke a rule, %d not played\n",
		len(outcomes), w.hunter.Site.Name, len(outcomes)-broke-failed, broke, failed)
	if broke > 0 {
		return exitBroken, nil
	}
	return 0, nil
}
