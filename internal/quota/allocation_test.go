package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"rowanshunt/internal/clock"
)

func mustRules(t *testing.T) *Rules {
	t.Helper()
	d, err := ParseTOML([]byte(goodTOML))
	if err != nil {
		t.Fatal(err)
	}
	return d.Compile()
}

// randomFleet is an allocator with the reports of some nodes, of which some are
// silent.
type randomFleet struct {
	allocator *allocator
	fleet     Amount
	names     []string
	fresh     int
	reserved  Amount             // what the silent nodes may use
	silent    map[string]float64 // their fractions, by tenant
}

func newRandomFleet(seed uint64, rules *Rules, now clock.Instant) *randomFleet {
	rng := rand.New(rand.NewPCG(seed, 3))
	f := &randomFleet{allocator: newAllocator("llm"), silent: map[string]float64{}}
	f.fleet = Amount{Slots: float64(20 + rng.IntN(400)), Kv: 1e5}
	nodes := 1 + rng.IntN(40)
	for i := range nodes {
		name := fmt.Sprint("n", i)
		f.names = append(f.names, name)
		if rng.IntN(5) == 0 {
			f.addSilent(rng, rules, name, nodes, now)
			continue
		}
		f.fresh++
		var usages []Usage
		for _, tenant := range []string{"books", "dealers", Others, "unknown"} {
			if rng.IntN(2) == 0 {
				usages = append(usages, Usage{Name: tenant, Live: Amount{Slots: float64(rng.IntN(20)), Kv: 1e4 * rng.Float64()},
					Batch: Amount{Slots: float64(rng.IntN(20)), Kv: 1e4 * rng.Float64()}, Shortages: rng.Int64N(4), Waiting: rng.IntN(3) == 0})
			}
		}
		f.allocator.observe(name, usages, now)
	}
	return f
}

func (r *randomFleet) addSilent(rng *rand.Rand, rules *Rules, name string, nodes int, now clock.Instant) {
	report := r.allocator.observe(name, nil, now.Add(-2*reportFreshness))
	report.fractions = map[string]float64{}
	for _, tenant := range []string{"books", "dealers"} {
		part := rng.Float64() / float64(nodes)
		report.fractions[tenant] = part
		r.silent[tenant] += part
		guarantee, _ := rules.Guarantee("llm", tenant)
		r.reserved = r.reserved.plus(guarantee.of(r.fleet).times(part))
	}
}

// Of every allocation holds (design 17.3): limits come to at most the fleet,
// fractions to at most the guarantee, silent nodes keep theirs, and without more
// than half of the nodes nothing is computed.
func TestAllocationKeepsWithinTheFleet(t *testing.T) {
	rules := mustRules(t)
	const now = clock.Instant(1e9)
	for seed := uint64(1); seed <= 300; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newRandomFleet(seed, rules, now)
			a := f.allocator
			a.compute(rules, f.fleet, f.names, now)
			if a.hasQuorum != (2*f.fresh > len(f.names)) {
				t.Fatalf("%d of %d nodes: quorum %v", f.fresh, len(f.names), a.hasQuorum)
			}
			if !a.hasQuorum {
				if a.limits != nil || a.statuses != nil {
					t.Error("limits without a quorum")
				}
				return
			}
			f.checkLimits(t)
			f.checkStatuses(t)
		})
	}
}

func (r *randomFleet) checkLimits(t *testing.T) {
	t.Helper()
	var granted Amount
	fractions := map[string]float64{}
	for _, limits := range r.allocator.limits {
		for _, l := range limits {
			granted = granted.plus(Amount{Slots: float64(l.Slots), Kv: l.Kv})
			fractions[l.Name] += l.Fraction
		}
	}
	if total := granted.plus(r.reserved); total.Slots > r.fleet.Slots*(1+1e-6) || total.Kv > r.fleet.Kv*(1+1e-6) {
		t.Errorf("%+v granted and %+v reserved for silent nodes, of %+v", granted, r.reserved, r.fleet)
	}
	for tenant, sum := range fractions {
		if sum+r.silent[tenant] > 1+1e-6 {
			t.Errorf("fractions of %s come to %g", tenant, sum+r.silent[tenant])
		}
	}
}

func (r *randomFleet) checkStatuses(t *testing.T) {
	t.Helper()
	var allowed float64
	for _, status := range r.allocator.statuses {
		allowed += status.AllowedSlots
		if math.IsNaN(status.AllowedSlots) || status.Why == "" {
			t.Errorf("%+v", status)
		}
	}
	if allowed > r.fleet.Slots*(1+1e-6) {
		t.Errorf("%g of %g slots", allowed, r.fleet.Slots)
	}
}

// When a service is contended, when borrowed runs give way, and who is not bounded.
func TestAllocationByUse(t *testing.T) {
	rules := mustRules(t)
	usage := func(name string, live, batch float64, shortages int64) Usage {
		return Usage{Name: name, Live: Amount{Slots: live, Kv: live}, Batch: Amount{Slots: batch, Kv: batch}, Shortages: shortages}
	}
	fleet := Amount{Slots: 100, Kv: 1e6}
	const now = clock.Instant(1)
	for _, tc := range []struct {
		name               string
		usages             []Usage
		contended, preempt bool
		unbounded          map[string]bool
		liveUnbounded      []string // of those that are bounded: live calls are not
	}{
		{"quiet", []Usage{usage("books", 10, 0, 0), usage("dealers", 10, 30, 0)}, false, false, map[string]bool{"books": true, "dealers": false}, []string{"dealers"}},
		{"nearly full", []Usage{usage("books", 10, 0, 0), usage("dealers", 0, 78, 0)}, true, false, map[string]bool{"books": true, "dealers": false}, []string{"dealers"}},
		{"one finds no capacity", []Usage{usage("books", 10, 0, 2), usage("dealers", 0, 60, 0)}, true, true, map[string]bool{"books": true, "dealers": false}, []string{"dealers"}},
		{"one with items of its own finds no capacity", []Usage{usage("books", 10, 40, 2), usage("dealers", 30, 0, 0)}, true, true, map[string]bool{"books": false, "dealers": false}, []string{"books"}},
		{"full", []Usage{usage("books", 45, 0, 0), usage("dealers", 10, 45, 0)}, true, true, map[string]bool{"books": false, "dealers": false}, []string{"dealers"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a := newAllocator("llm")
			a.observe("a", tc.usages, now)
			a.compute(rules, fleet, []string{"a"}, now)
			if got := a.contended(now); got != tc.contended || a.preempting != tc.preempt {
				t.Errorf("contended %v, preempting %v", got, a.preempting)
			}
			found := 0
			for _, l := range a.limits["a"] {
				want, listed := tc.unbounded[l.Name]
				if !listed {
					continue
				}
				found++
				if l.Unbounded != want {
					t.Errorf("%s is unbounded: %v", l.Name, l.Unbounded)
				}
			}
			if found != len(tc.unbounded) {
				t.Errorf("limits of %d tenants, want %d", found, len(tc.unbounded))
			}
			for name := range tc.unbounded {
				live, listed := (&Grant{Limits: a.limits["a"]}).limit(liveLimitName(name))
				if listed != slices.Contains(tc.liveUnbounded, name) || live.Unbounded != listed {
					t.Errorf("the live calls of %s: %+v", name, live)
				}
			}
		})
	}
}

// The result depends on the inputs alone, to the last bit: not on the order in which
// reports of silent nodes, tenants or shares are stored.
func TestAllocationIsDeterministic(t *testing.T) {
	const now = clock.Instant(1e9)
	compute := func(seed uint64) *allocator {
		rules := mustRules(t)
		f := newRandomFleet(seed, rules, now)
		f.allocator.compute(rules, f.fleet, f.names, now)
		return f.allocator
	}
	for seed := uint64(1); seed <= 50; seed++ {
		want := compute(seed)
		for range 5 {
			got := compute(seed)
			if !reflect.DeepEqual(got.limits, want.limits) || !reflect.DeepEqual(got.statuses, want.statuses) {
				t.Fatalf("seed %d: two computations from the same reports differ", seed)
			}
		}
	}
}
