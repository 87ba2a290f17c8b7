package faultgen

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// The first entry comes this long after the start of traffic, and the last this
// long before the end of the day.
const (
	earliestS = 1.5
	tailS     = 4.0
)

// playerSeeds bounds the seed handed to the player.
const playerSeeds = 1 << 28

// drawer draws one day; equal seeds, sites and settings give equal days.
type drawer struct {
	random
	site     Site
	settings Settings
	day      Day
}

// Draw draws a day for the site.
func Draw(site Site, settings Settings, seed uint64) Day {
	d := drawer{random: newRandom(seed), site: site, settings: settings}
	shape := pick(d.random, weighted(settings.Shapes, func(s Shape) int { return s.Weight }))
	d.day = Day{
		Name:    fmt.Sprintf("drawn-%s-%d", site.Name, seed),
		Seed:    1 + d.rng.Uint64N(playerSeeds),
		LengthS: math.Round(d.floatIn(shape.LengthS)),
	}
	d.fill(Plan, d.intIn(shape.Plan), 0)
	d.fill(Faults, d.intIn(shape.Faults), d.intIn(shape.Kinds))
	d.storm(d.intIn(shape.Storms))
	d.closing()
	byTime := func(a, b Entry) int { return int(math.Copysign(1, a.At-b.At)) }
	slices.SortStableFunc(d.day.Plan, byTime)
	slices.SortStableFunc(d.day.Faults, byTime)
	return d.day
}

// fill adds n entries to one list of the day, of at most maxKinds of its kinds where
// that is above zero: a day of few kinds reaches states that an even mix does not.
func (d *drawer) fill(part Part, n, maxKinds int) {
	kinds := d.kindsOf(part, maxKinds)
	for range n {
		kind := pick(d.random, kinds)
		entry := d.entry(kind, d.floatIn(Range{earliestS, d.day.LengthS - tailS}))
		d.add(part, entry)
		if kind.NewStore {
			ready := max(earliestS, round(entry.At-2*d.site.Timing.CatchUpS))
			d.add(Plan, Entry{At: ready, Kind: "add_nodes", On: "store", Count: 1})
		}
		if kind.Loses && d.chance(d.settings.Chances.Follow) {
			d.follow(entry, kinds)
		}
	}
}

// kindsOf is the kinds of one list that the site allows, repeated by their weights.
func (d *drawer) kindsOf(part Part, maxKinds int) []Kind {
	var kinds []Kind
	for _, kind := range d.settings.Kinds {
		if kind.Part == part && d.site.Allows(kind) {
			kinds = append(kinds, kind)
		}
	}
	kinds = weighted(kinds, func(k Kind) int { return k.Weight })
	if maxKinds > 0 {
		d.rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		kinds = kinds[:min(maxKinds, len(kinds))]
	}
	return kinds
}

// follow adds a second loss right after the first has been made good.
func (d *drawer) follow(first Entry, kinds []Kind) {
	at := first.At + first.ForS + d.site.Timing.CatchUpS + d.floatIn(d.settings.FollowS)
	if at > d.day.LengthS-tailS {
		return
	}
	losses := slices.DeleteFunc(slices.Clone(kinds), func(k Kind) bool { return !k.Loses })
	second := d.entry(pick(d.random, losses), round(at))
	if second.On != "" {
		second.On = first.On
	}
	d.add(Faults, second)
}

// storm adds n overlapping runs of changes, so that many of them are in progress.
func (d *drawer) storm(n int) {
	at := d.floatIn(Range{earliestS, d.day.LengthS / 3})
	for range n {
		d.add(Plan, d.entry(d.settings.Storm, at))
	}
	if n > 0 && d.chance(d.settings.Chances.AckLost) {
		d.add(Faults, d.entry(d.settings.AckLost, at))
	}
}

// closing adds the fault that ends the day, to some days.
func (d *drawer) closing() {
	if !d.chance(d.settings.Chances.Closing) {
		return
	}
	kind := pick(d.random, d.settings.ClosingKind)
	d.day.Closing = &Closing{Kind: kind.Kind, DownS: d.floatIn(d.settings.DownS), How: d.oneOf(kind.How)}
}

func (d *drawer) add(part Part, entry Entry) {
	if part == Plan {
		d.day.Plan = append(d.day.Plan, entry)
		return
	}
	d.day.Faults = append(d.day.Faults, entry)
}

// entry draws the fields of one entry.
func (d *drawer) entry(kind Kind, at float64) Entry {
	entry := Entry{
		At: at, Kind: kind.Kind, On: d.oneOf(kind.On), How: d.how(kind),
		Share: d.floatIn(kind.Share), Count: d.intIn(kind.Count), X: d.floatIn(kind.X),
		GapS: d.floatIn(kind.GapS), ForS: d.floatIn(kind.ForS),
	}
	if kind.Service {
		entry.Service = d.optionalName(d.site.Services)
	}
	if kind.Class {
		entry.Class = d.optionalName(d.site.Classes)
	}
	if kind.Zone {
		entry.Zone = pick(d.random, d.site.Zones).Name
	}
	if strings.Contains(entry.How, "one_zone") {
		entry.ToZone = pick(d.random, d.site.Zones).Name
	}
	return entry
}

// how joins a target, a variant and what comes after it.
func (d *drawer) how(kind Kind) string {
	var parts []string
	variant := d.oneOf(kind.How)
	if kind.Target && variant != "oldest" && d.chance(d.settings.Chances.Target) {
		parts = append(parts, pick(d.random, d.settings.Targets))
	}
	if variant != "" {
		parts = append(parts, variant)
	}
	for _, after := range kind.After {
		if d.chance(d.settings.Chances.After) {
			parts = append(parts, after)
		}
	}
	return strings.Join(parts, " ")
}

// optionalName leaves a service or class to the player now and then.
func (d *drawer) optionalName(all []named) string {
	if d.chance(d.settings.Chances.AllClass) {
		return ""
	}
	return pick(d.random, all).Name
}
