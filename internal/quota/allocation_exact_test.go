//go:build amd64

package quota

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"rowanshunt/internal/clock"
)

// The files under testdata/allocation hold what the code gave before it was cut
// into steps, floats as exact hexadecimal, so that a change of its shape cannot
// change a grant. They are not to be written anew unless the rule of division
// itself changes. Other architectures may fuse a product with a sum and round once
// instead of twice: the files hold for amd64.

const exactFolder = "testdata/allocation"

func exact(f float64) string { return strconv.FormatFloat(f, 'x', -1, 64) }

func exactAmount(a Amount) string { return exact(a.Slots) + " " + exact(a.Kv) }

func compareExact(t *testing.T, name, got string) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join(exactFolder, name))
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(want, []byte(got)) {
		return
	}
	wants, gots := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i, line := range gots {
		if i >= len(wants) || wants[i] != line {
			t.Fatalf("%s: line %d is\n%s\nwant\n%s", name, i+1, line, wants[min(i, len(wants)-1)])
		}
	}
	t.Fatalf("%s: %d lines, want %d", name, len(gots), len(wants))
}

func randomDemands(rng *rand.Rand) (Amount, []Demand) {
	fleet := Amount{Slots: 10 + 500*rng.Float64(), Kv: 1e4 + 1e7*rng.Float64()}
	if rng.IntN(8) == 0 {
		fleet.Kv = 0
	}
	demands := make([]Demand, rng.IntN(9))
	left := Guarantee{Slots: 1, Kv: 1}
	for i := range demands {
		g := Guarantee{Slots: left.Slots * rng.Float64(), Kv: left.Kv * rng.Float64()}
		if rng.IntN(6) == 0 {
			g = Guarantee{}
		}
		left.Slots, left.Kv = left.Slots-g.Slots, left.Kv-g.Kv
		if rng.IntN(4) == 0 {
			g.Cap = min(max(g.Slots, g.Kv)+rng.Float64(), 1)
		}
		want := Amount{Slots: fleet.Slots * 2 * rng.Float64() * rng.Float64(), Kv: fleet.Kv * 2 * rng.Float64() * rng.Float64()}
		switch rng.IntN(8) {
		case 0:
			want.Slots = 0
		case 1:
			want.Kv = 0
		}
		demands[i] = Demand{Name: fmt.Sprint("tenant-", i), Guarantee: g, Want: want}
	}
	return fleet, demands
}

func TestAllocateIsExact(t *testing.T) {
	var out strings.Builder
	for seed := uint64(1); seed <= 200; seed++ {
		rng := rand.New(rand.NewPCG(seed, 11))
		fleet, demands := randomDemands(rng)
		for i, a := range Allocate(fleet, demands) {
			fmt.Fprintf(&out, "%d %d %s\n", seed, i, exactAmount(a))
		}
		weights := make([]float64, rng.IntN(12))
		for i := range weights {
			weights[i] = rng.Float64() * float64(rng.IntN(3))
		}
		total := rng.Int64N(1000) - 10
		fmt.Fprintf(&out, "%d spread %d %v\n", seed, total, Apportion(total, weights))
	}
	compareExact(t, "allocate.txt", out.String())
}

// exactCase is the input of an allocation. Sums over silent nodes and their
// tenants once ran in the order of a map, so there the guarantees and fractions
// are sums of few powers of two: they add up to the same in any order.
type exactCase struct {
	rules *Rules
	fleet Amount
	names []string // of the nodes that admit calls
	uses  map[string][]Usage
	// silent are the fractions that nodes out of touch were last granted.
	silent    map[string]map[string]float64
	forgotten []string // silent for so long that nothing is kept for them
}

func exactRules(seed uint64, rng *rand.Rand, dyadic bool) *Rules {
	shares := map[string]Guarantee{}
	for i := range 2 + rng.IntN(5) {
		g := Guarantee{Slots: rng.Float64() / 6, Kv: rng.Float64() / 6}
		if dyadic {
			g = Guarantee{Slots: float64(rng.IntN(10)) / 64, Kv: float64(rng.IntN(10)) / 64}
		}
		if rng.IntN(3) == 0 {
			g.Cap = max(g.Slots, g.Kv) + rng.Float64()/3
		}
		shares[fmt.Sprint("tenant-", i)] = g
	}
	shares[Others] = Guarantee{Slots: 0.0625, Kv: 0.03125}
	return &Rules{Version: int64(seed), shares: map[string]map[string]Guarantee{"llm": shares}}
}

func randomCase(seed uint64, nodes int) exactCase {
	rng := rand.New(rand.NewPCG(seed, 13))
	withSilent := rng.IntN(2) == 0
	c := exactCase{rules: exactRules(seed, rng, withSilent), fleet: Amount{Slots: float64(20 + rng.IntN(400)), Kv: float64(1 + rng.IntN(1<<20))},
		uses: map[string][]Usage{}, silent: map[string]map[string]float64{}}
	if rng.IntN(8) == 0 {
		c.fleet.Kv = 0
	}
	load := c.fleet.Slots / float64(nodes) / 4 * rng.Float64()
	tenants := append(sortedKeys(c.rules.shares["llm"]), "unknown")
	for i := range nodes {
		name := fmt.Sprint("n", i)
		c.names = append(c.names, name)
		if withSilent && rng.IntN(5) == 0 {
			c.silent[name] = map[string]float64{}
			for _, tenant := range tenants {
				c.silent[name][tenant] = float64(rng.IntN(64)) / 4096
			}
			continue
		}
		var uses []Usage
		for _, tenant := range tenants {
			if rng.IntN(2) == 0 {
				uses = append(uses, Usage{Name: tenant, Live: Amount{Slots: load * rng.Float64(), Kv: 1e4 * rng.Float64()},
					Batch: Amount{Slots: load * rng.Float64(), Kv: 1e4 * rng.Float64()}, Shortages: max(rng.Int64N(8)-5, 0), Waiting: rng.IntN(8) == 0})
			}
		}
		c.uses[name] = uses
	}
	if rng.IntN(4) == 0 {
		c.forgotten = []string{"gone"}
	}
	if rng.IntN(4) == 0 {
		c.uses["not-a-member"] = c.uses["n0"]
	}
	return c
}

// allocate computes the allocation of a case at two moments: the second one is
// computed from fewer shortages, with what the first left behind.
func (e exactCase) allocate() string {
	const start = clock.Instant(1e9)
	a := newAllocator("llm")
	for name, usages := range e.uses {
		a.observe(name, usages, start)
	}
	for name, fractions := range e.silent {
		a.reports[name] = &nodeReport{at: start.Add(-reportFreshness - 1), fractions: fractions}
	}
	for _, name := range e.forgotten {
		a.reports[name] = &nodeReport{at: start.Add(-reservationTime - 1), fractions: map[string]float64{Others: 0.5}}
	}
	var out strings.Builder
	for _, now := range []clock.Instant{start, start.Add(500 * clock.Millisecond)} {
		a.compute(e.rules, e.fleet, e.names, now)
		writeExact(&out, a, now)
		for _, report := range a.reports {
			report.usages = slices.Clone(report.usages)
			for i := range report.usages {
				report.usages[i].Shortages = 0
				report.usages[i].Waiting = false
			}
		}
	}
	return out.String()
}

func writeExact(out *strings.Builder, a *allocator, now clock.Instant) {
	fmt.Fprintf(out, "quorum %v contended %v yield %v nodes %d\n", a.hasQuorum, a.contended(now), a.preempting, len(a.reports))
	for _, node := range sortedKeys(a.limits) {
		for _, l := range a.limits[node] {
			if tenant, live := strings.CutPrefix(l.Name, liveLimitName("")); live {
				// Not among the exact figures, which are those of bounds.
				if bound, _ := (&Grant{Limits: a.limits[node]}).limit(tenant); bound.Unbounded || l != (Limit{Name: l.Name, Unbounded: true}) {
					fmt.Fprintf(out, "the live calls of %+v have the limit %+v\n", bound, l)
				}
				continue
			}
			fmt.Fprintf(out, "%s %s %v %v %d %s %s\n", node, l.Name, l.Unbounded, l.Capped, l.Slots, exact(l.Kv), exact(l.Fraction))
		}
	}
	for _, r := range a.statuses {
		fmt.Fprintf(out, "%s %s", r.Service, r.Tenant)
		for _, f := range []float64{r.SlotsPercent, r.KvPercent, r.CapPercent, r.LiveSlots, r.BatchSlots, r.Kv, r.FleetSlots, r.FleetKv, r.AllowedSlots, r.AllowedKv, r.Borrowed} {
			out.WriteString(" " + exact(f))
		}
		fmt.Fprintf(out, " %v %v %s\n", r.Bounded, r.Waiting, r.Why)
	}
}

func TestAllocationOfASmallFleetIsExact(t *testing.T) {
	var out strings.Builder
	for seed := uint64(1); seed <= 40; seed++ {
		fmt.Fprintf(&out, "seed %d\n%s", seed, randomCase(seed, 1+int(seed)%5).allocate())
	}
	compareExact(t, "small.txt", out.String())
}

// Of larger fleets only a digest a seed is kept.
func TestAllocationOfALargeFleetIsExact(t *testing.T) {
	var out strings.Builder
	for seed := uint64(1001); seed <= 1300; seed++ {
		fmt.Fprintf(&out, "%d %x\n", seed, sha256.Sum256([]byte(randomCase(seed, 1+int(seed)%60).allocate())))
	}
	compareExact(t, "large.txt", out.String())
}

// What guarantees come to, as exactly: here nothing depends on an order.
func TestRulesAreExact(t *testing.T) {
	var out strings.Builder
	for seed := uint64(1); seed <= 100; seed++ {
		rng := rand.New(rand.NewPCG(seed, 17))
		d := &Document{Version: 1, Tenants: map[string]Tenant{}, Shares: map[string]map[string]Share{"percents": {}, "weights": {}, "named": {}}}
		number := func(f float64) *float64 { return &f }
		d.Shares["percents"]["a"] = Share{KvPercent: number(100 * rng.Float64()), SlotsPercent: number(100 * rng.Float64()), CapPercent: number(100 * rng.Float64())}
		for i := range 1 + rng.IntN(4) {
			d.Shares["named"][fmt.Sprint("t", i)] = Share{Weight: number(float64(rng.IntN(9)))}
		}
		d.Shares["named"][Others] = Share{Weight: number(float64(rng.IntN(9)))}
		d.Shares["weights"]["a"] = Share{Weight: number(rng.Float64())}
		rules := d.Compile()
		for _, svc := range rules.Services() {
			for _, name := range sortedKeys(rules.shares[svc]) {
				g, _ := rules.Guarantee(svc, name)
				fmt.Fprintf(&out, "%d %s %s %s %s %s\n", seed, svc, name, exact(g.Slots), exact(g.Kv), exact(g.Cap))
			}
		}
	}
	compareExact(t, "rules.txt", out.String())
}
