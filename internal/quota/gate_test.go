package quota

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"rowanshunt/internal/clock"
)

const (
	booksHost   = "shop.example"  // of books
	dealersHost = "feeds.example" // of dealers
)

// Gates of the tests are one of four nodes before 40 slots.
func newGate(t *testing.T) *Gate {
	t.Helper()
	g := &Gate{Edges: func() int64 { return 4 }, Fleet: func(string) Amount { return Amount{Slots: 40, Kv: 4000} }}
	g.SetRules(mustRules(t))
	return g
}

// newGrant is a grant of term 1 that has just been made.
func newGrant(contended bool, limits ...Limit) *Grant {
	return &Grant{Term: 1, TTL: minGrantTTL, Contended: contended, Limits: limits}
}

func mustApply(t *testing.T, g *Gate, grant *Grant) {
	t.Helper()
	if !g.Apply("llm", grant, clock.Now()) {
		t.Fatalf("the grant of term %d was refused", grant.Term)
	}
}

// maxFill is more calls than any bound of the tests admits.
const maxFill = 50

// fill admits live calls of a host until one is refused, maxFill at most.
func fill(g *Gate, host string) int {
	for n := range maxFill {
		if _, ok := g.Admit("llm", host, 10); !ok {
			return n
		}
	}
	return maxFill
}

// What a gate admits, by what it was granted (design 17.3).
func TestGateAdmitsByGrant(t *testing.T) {
	for _, tc := range []struct {
		name  string
		grant *Grant
		want  map[string]int
	}{
		{"nobody needs the capacity", newGrant(false, Limit{Name: "dealers", Slots: 1}), map[string]int{dealersHost: maxFill}},
		{"bounded", newGrant(true, Limit{Name: "dealers", Slots: 3, Kv: 1000}, Limit{Name: "books", Unbounded: true}), map[string]int{dealersHost: 3, booksHost: maxFill}},
		{"by cache memory", newGrant(true, Limit{Name: "dealers", Slots: 30, Kv: 45}), map[string]int{dealersHost: 5}},
		{"a cap", newGrant(false, Limit{Name: "dealers", Capped: true, Slots: 2, Kv: 1000}), map[string]int{dealersHost: 2}},
		{"not in the grant", newGrant(true), map[string]int{booksHost: maxFill}},
		{"nothing", newGrant(true, Limit{Name: "dealers"}), map[string]int{dealersHost: 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGate(t)
			mustApply(t, g, tc.grant)
			for host, want := range tc.want {
				if got := fill(g, host); got != want {
					t.Errorf("%d of %s were admitted, want %d", got, host, want)
				}
			}
		})
	}
}

func TestEntitledIsWhoIsWithinItsGuarantee(t *testing.T) {
	g := newGate(t)
	if g.Entitled("llm", booksHost) {
		t.Error("entitled without a grant")
	}
	mustApply(t, g, newGrant(true, Limit{Name: "dealers", Slots: 3}, Limit{Name: "books", Unbounded: true}))
	for _, tc := range []struct {
		service, host string
		want          bool
	}{{"llm", booksHost, true}, {"llm", dealersHost, false}, {"app", booksHost, false}} {
		if got := g.Entitled(tc.service, tc.host); got != tc.want {
			t.Errorf("%s at %s is entitled: %v, want %v", tc.host, tc.service, got, tc.want)
		}
	}
}

func TestNothingIsCountedWithoutShares(t *testing.T) {
	withoutDocument := &Gate{}
	if ticket, ok := withoutDocument.Admit("llm", booksHost, 1); !ok || ticket != nil {
		t.Error("without a document something is counted")
	}
	if ticket, ok := withoutDocument.AdmitItem("llm", booksHost, 1, func() {}); !ok || ticket != nil {
		t.Error("without a document an item is counted")
	}
	if ticket, ok := newGate(t).Admit("another", booksHost, 1); !ok || ticket != nil {
		t.Error("a service without shares is bounded")
	}
	var none *Gate
	if none.Active("llm") || none.Rules() != nil {
		t.Error("a nil gate has rules")
	}
	(*Ticket)(nil).Release()
}

// Before the first leader, and while it may not grant yet, nothing is bounded.
func TestGateBeforeTheFirstGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if n := fill(newGate(t), dealersHost); n != maxFill {
			t.Errorf("before any leader: %d", n)
		}
		g := newGate(t)
		g.ObserveTerm("llm", 3)
		if n := fill(g, dealersHost); n != maxFill {
			t.Errorf("while the first leader may not grant: %d", n)
		}
		g = newGate(t)
		g.ObserveTerm("llm", 3)
		time.Sleep(firstGrantGrace.Duration())
		if n := fill(g, dealersHost); n != 2 {
			t.Errorf("when the first leader did not grant in time: %d", n)
		}
	})
}

// A grant expires; then a node lives on its fraction of what is guaranteed.
func TestGateWhoseGrantExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(t)
		mustApply(t, g, newGrant(false, Limit{Name: "books", Fraction: 0.5, Unbounded: true}))
		time.Sleep(minGrantTTL.Duration() + time.Second)
		// dealers: 20 percent of 40 slots, a quarter of that here.
		if n := fill(g, dealersHost); n != 2 {
			t.Errorf("an even fraction: %d", n)
		}
		// books: half of the slots, and the half of that which was granted.
		if n := fill(g, booksHost); n != 10 {
			t.Errorf("the fraction that was granted: %d", n)
		}
	})
}

// A grant of an older term is void (design 17.3).
func TestGateRefusesGrantsOfOlderTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(t)
		mustApply(t, g, &Grant{Term: 3, TTL: minGrantTTL})
		time.Sleep(minGrantTTL.Duration() + time.Second)
		g.ObserveTerm("llm", 4)
		if g.Apply("llm", &Grant{Term: 3, TTL: minGrantTTL}, clock.Now()) {
			t.Error("a grant of an older term was applied")
		}
		mustApply(t, g, &Grant{Term: 4, TTL: minGrantTTL})
		if n := fill(g, dealersHost); n != maxFill {
			t.Errorf("under a grant of the newest term: %d", n)
		}
	})
}

// A newer term cuts the grant in force short to the shortest time to live.
func TestANewerTermCutsTheGrantShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(t)
		mustApply(t, g, &Grant{Term: 1, TTL: 10 * minGrantTTL})
		g.ObserveTerm("llm", 2)
		time.Sleep(minGrantTTL.Duration())
		if n := fill(g, dealersHost); n != 2 {
			t.Errorf("%d calls by a grant of an earlier term, want 2 by the guarantee", n)
		}
	})
}

// A live call that is within its tenant's guarantee by itself is admitted though the
// tenant is at its limit, and takes the place of an item, the newest first.
func TestLiveCallsDisplaceTheTenantsOwnItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(t)
		var preempted []int
		for i := range 3 {
			if _, ok := g.AdmitItem("llm", dealersHost, 10, func() { preempted = append(preempted, i) }); !ok {
				t.Fatal("not admitted")
			}
		}
		limit := Limit{Name: "dealers", Slots: 1, Kv: 1000}
		mustApply(t, g, newGrant(true, limit, Limit{Name: liveLimitName("dealers"), Unbounded: true}))
		for i := range 4 {
			if _, ok := g.Admit("llm", dealersHost, 10); !ok {
				t.Errorf("live call %d was not admitted", i)
			}
		}
		if want := []int{2, 1, 0}; !slices.Equal(preempted, want) {
			t.Errorf("gave way: %v, want %v", preempted, want)
		}
		if !g.Entitled("llm", dealersHost) {
			t.Error("a live call may not wait for what is lent")
		}
		mustApply(t, g, newGrant(true, limit))
		if _, ok := g.Admit("llm", dealersHost, 10); ok || g.Entitled("llm", dealersHost) {
			t.Error("a live call beyond the guarantee was admitted, or may wait")
		}
	})
}

// Borrowed runs give way, the newest first, each asked once; live calls never; a tenant's
// own items give way to its live calls, and wait behind them (design 17.4).
func TestBorrowedRunsArePreempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(t)
		var preempted []int
		var tickets []*Ticket
		for i := range 5 {
			ticket, ok := g.AdmitItem("llm", dealersHost, 10, func() { preempted = append(preempted, i) })
			if !ok {
				t.Fatal("not admitted")
			}
			tickets = append(tickets, ticket)
		}
		live, _ := g.Admit("llm", dealersHost, 10)
		grant := newGrant(true, Limit{Name: "dealers", Slots: 3, Kv: 1000})
		mustApply(t, g, grant)
		if len(preempted) != 0 {
			t.Errorf("%v gave way though nobody comes within its guarantee", preempted)
		}
		grant.Preempt = true
		mustApply(t, g, grant)
		mustApply(t, g, grant)
		if want := []int{4, 3, 2}; !slices.Equal(preempted, want) {
			t.Errorf("gave way: %v, want %v", preempted, want)
		}
		for _, ticket := range tickets[2:] {
			ticket.Release()
			ticket.Release()
		}
		// Two items and a live call are at the limit: further live calls take the items'
		// place, one each, until live calls alone are at the limit.
		calls := []*Ticket{live}
		for _, want := range [][]int{{4, 3, 2, 1}, {4, 3, 2, 1, 0}} {
			call, ok := g.Admit("llm", dealersHost, 10)
			if !ok || !slices.Equal(preempted, want) {
				t.Errorf("a live call within the limit: admitted %v, gave way %v, want %v", ok, preempted, want)
			}
			calls = append(calls, call)
		}
		if _, ok := g.Admit("llm", dealersHost, 10); ok {
			t.Error("a live call over the limit was admitted")
		}
		for _, call := range calls {
			call.Release()
		}
		if _, ok := g.AdmitItem("llm", dealersHost, 10, func() {}); ok {
			t.Error("an item was admitted before a live call that found no capacity")
		}
		if full := g.AtLimit("llm", []string{booksHost, dealersHost}); !slices.Equal(full, []string{dealersHost}) {
			t.Errorf("at the limit: %v", full)
		}
		time.Sleep(time.Second)
		mustApply(t, g, grant)
		if _, ok := g.AdmitItem("llm", dealersHost, 10, func() {}); !ok {
			t.Error("a second later there is capacity")
		}
		uses := g.Report("llm")
		if len(uses) != 1 || uses[0].Name != "dealers" || uses[0].Batch.Slots != 3 || uses[0].Live.Slots != 0 || uses[0].Shortages != 1 {
			t.Errorf("report: %+v", uses)
		}
		if again := g.Report("llm"); len(again) != 1 || again[0].Shortages != 0 {
			t.Errorf("a shortage was reported twice: %+v", again)
		}
	})
}
