package faultgen

import (
	"fmt"
	"slices"
)

// Broken reports whether a day still breaks the rule it is shrunk for.
type Broken func(Day) (bool, error)

// Shrink drops entries, halves first and then smaller runs down to one by one,
// as long as the day stays broken; the day's seed and times stay. It returns the
// smallest day found and how many days it tried, at most limit.
func Shrink(day Day, limit int, broken Broken) (smallest Day, tries int, err error) {
	s := shrinker{name: day.Name, day: day, limit: limit, broken: broken}
	size := max(1, parts(day)/2)
	for size >= 1 {
		before := parts(s.day)
		if err := s.dropRuns(size); err != nil || s.tries >= limit {
			return s.day, s.tries, err
		}
		again := size == 1 && parts(s.day) < before
		if !again {
			size /= 2
		}
	}
	return s.day, s.tries, nil
}

// shrinker is the state of one shrinking.
type shrinker struct {
	name   string // of the day that is shrunk
	day    Day    // the smallest that is broken so far
	tries  int
	limit  int // of tries
	broken Broken
}

// dropRuns tries to drop each run of size parts once, the last first.
func (s *shrinker) dropRuns(size int) error {
	for from := parts(s.day) - size; from > -size && s.tries < s.limit; from -= size {
		smaller := without(s.day, max(0, from), from+size)
		s.tries++
		smaller.Name = fmt.Sprintf("%s-s%d", s.name, s.tries)
		still, err := s.broken(smaller)
		if err != nil {
			return err
		}
		if still {
			s.day = smaller
		}
	}
	return nil
}

// parts counts what can be dropped: all entries and the closing fault.
func parts(day Day) int {
	n := len(day.Plan) + len(day.Faults)
	if day.Closing != nil {
		n++
	}
	return n
}

// without is the day without its parts from one to another, counted through
// the plan, the faults and the closing.
func without(day Day, from, to int) Day {
	keep := func(entries []Entry, first int) []Entry {
		low := min(max(from-first, 0), len(entries))
		high := min(max(to-first, 0), len(entries))
		return slices.Delete(slices.Clone(entries), low, high)
	}
	last := len(day.Plan) + len(day.Faults)
	smaller := day
	smaller.Plan = keep(day.Plan, 0)
	smaller.Faults = keep(day.Faults, len(day.Plan))
	if from <= last && last < to {
		smaller.Closing = nil
	}
	return smaller
}
