package faultgen

import (
	"context"
	"slices"

	"github.com/sourcegraph/conc/iter"
)

// Hunter draws days for a site and has a player play them.
type Hunter struct {
	Player   Player
	Site     Site
	Settings Settings
	Jobs     int // days that are played at a time
}

// Hunt draws and plays a day for each seed, and returns how they ended in the order of
// the seeds; finished is called as each ends, from any goroutine.
func (h Hunter) Hunt(ctx context.Context, seeds []uint64, finished func(Outcome)) []Outcome {
	mapper := iter.Mapper[uint64, Outcome]{MaxGoroutines: h.Jobs}
	return mapper.Map(seeds, func(seed *uint64) Outcome {
		outcome := Outcome{Day: Draw(h.Site, h.Settings, *seed)}
		outcome.Report, outcome.Err = h.Player.Play(ctx, outcome.Day)
		finished(outcome)
		return outcome
	})
}

// StillBreaks plays a day and reports whether it breaks one of the rules.
func StillBreaks(ctx context.Context, player Player, rules []string) Broken {
	return func(day Day) (bool, error) {
		report, err := player.Play(ctx, day)
		if err != nil {
			return false, err
		}
		return slices.ContainsFunc(report.Rules(), func(rule string) bool {
			return slices.Contains(rules, rule)
		}), nil
	}
}
