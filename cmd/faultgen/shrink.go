package main

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"rowanshunt/internal/faultgen"
)

// shrinkFile shrinks the day of a file by the rules given, or by those that it breaks
// when it is played.
func (w workspace) shrinkFile(ctx context.Context, path string, rules []string) (exitCode int, err error) {
	if err := w.prepare(); err != nil {
		return exitError, err
	}
	day, err := faultgen.ReadDay(path)
	if err != nil {
		return exitError, err
	}
	if len(rules) == 0 {
		report, err := w.hunter.Player.Play(ctx, day)
		if err != nil {
			return exitError, err
		}
		rules = report.Rules()
	}
	if len(rules) == 0 {
		fmt.Println(day.Name, "breaks no rule")
		return 0, nil
	}
	return exitBroken, w.shrink(ctx, day, rules)
}

// shrink shrinks one day and keeps the smallest as NAME-shrunk.toml.
func (w workspace) shrink(ctx context.Context, day faultgen.Day, rules []string) error {
	smallest, tries, err := faultgen.Shrink(day, w.maxPlays, faultgen.StillBreaks(ctx, w.hunter.Player, rules))
	if err != nil {
		return err
	}
	path := filepath.Join(w.hunter.Player.Dir, day.Name+"-shrunk.toml")
	fmt.Printf("%s: %s still broken by %d plan entries and %d faults after %d plays: %s\n", day.Name,
		strings.Join(rules, " "), len(smallest.Plan), len(smallest.Faults), tries, path)
	return smallest.WriteFile(path)
}
