package upgrade

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strings"
	"testing"

	"rowanshunt/internal/clock"
)

// The file testdata/walks/walks.txt holds, for each seed, what the state machine did
// in a random walk before it was cut into steps: how often each phase was entered,
// the last wave, and a digest of the upgrade as JSON after every step. Stored upgrades
// outlive a version, so a change of the code's shape must not change a decision.
const walksFile = "testdata/walks/walks.txt"

// walk is a fleet of workers under an upgrade, with faults drawn at random.
type walk struct {
	rng     *rand.Rand
	upgrade *Upgrade
	workers []WorkerState
	groups  []PrefixGroup
	now     clock.Instant
	made    int // workers that came in another's place
}

func newWalk(seed uint64) *walk {
	w := &walk{rng: rand.New(rand.NewPCG(seed, 19)), now: 1_000_000_000}
	n := 3 + w.rng.IntN(12)
	for i := range n {
		w.workers = append(w.workers, WorkerState{ID: fmt.Sprint("w", i), Addr: fmt.Sprint("a", i), Version: 1, Up: true})
	}
	rules := DefaultRules()
	rules.MinReplicas = int64(1 + w.rng.IntN(2))
	rules.MaxShare = 0.1 + float64(0.4*w.rng.Float64()) // rounded: the recorded walks hold on all processors
	w.upgrade = &Upgrade{Service: "s", From: 1, To: 2, Rules: rules, Phase: Running, Total: int64(n)}
	return w
}

// drawGroups gives some groups new workers that answer them.
func (w *walk) drawGroups() {
	w.groups = nil
	for i := range w.rng.IntN(5) {
		g := PrefixGroup{ID: fmt.Sprint("g", i), RecentRequests: int64(w.rng.IntN(40))}
		for _, s := range w.workers {
			if w.rng.IntN(4) == 0 {
				g.Replicas = append(g.Replicas, s.ID)
			}
		}
		w.groups = append(w.groups, g)
	}
}

func (w *walk) drawHealth() Health {
	switch w.rng.IntN(40) {
	case 0:
		return Health{Answers: 200, Late: 100}
	case 1:
		return Health{Answers: 200, Failed: 100}
	}
	return Health{Answers: 200, Late: int64(w.rng.IntN(20)), Failed: int64(w.rng.IntN(5))}
}

// replaceIdle replaces some idle workers that are out of use, most of them by ones at
// the target version.
func (w *walk) replaceIdle(idle map[string]bool) {
	for i := range w.workers {
		s := &w.workers[i]
		s.Busy = w.rng.IntN(4) == 0
		if w.rng.IntN(30) == 0 {
			s.Up = !s.Up
		}
		if !idle[s.ID] || w.rng.IntN(3) > 0 {
			continue
		}
		version := w.upgrade.To
		if w.rng.IntN(25) == 0 {
			version = w.upgrade.From
		}
		address := s.Addr
		if w.rng.IntN(4) == 0 {
			address += "b"
		}
		w.made++
		*s = WorkerState{ID: fmt.Sprint("n", w.made), Addr: address, Version: version, Up: true}
	}
}

// operate is what an operator or a new driver does now and then.
func (w *walk) operate() {
	u := w.upgrade
	switch {
	case u.Phase == Paused && w.rng.IntN(3) == 0:
		u.resume()
	case u.Phase == Done && w.rng.IntN(4) == 0, u.Open() && !u.Undoing && w.rng.IntN(150) == 0:
		u.undo()
	case w.rng.IntN(60) == 0:
		u.setDriver(fmt.Sprint("driver/", u.Term))
	}
}

var groupName = regexp.MustCompile(`group \S+ has`)

func (w *walk) run(steps int) string {
	digest := sha256.New()
	entered := map[Phase]int{}
	changes := 0
	for range steps {
		w.now = w.now.Add(clock.Micros(w.rng.IntN(20_000_000)))
		w.drawGroups()
		w.operate()
		before := w.upgrade.Phase
		if w.step() {
			changes++
		}
		if w.upgrade.Phase != before {
			entered[w.upgrade.Phase]++
		}
		raw, err := json.Marshal(w.upgrade)
		if err != nil {
			panic(err)
		}
		// Which of several groups is named once followed the order of a map.
		digest.Write(groupName.ReplaceAll(raw, []byte("group has")))
		w.replaceIdle(w.idle())
	}
	return fmt.Sprintf("paused %d done %d undone %d, %d changes, wave %d, %x", entered[Paused], entered[Done], entered[Undone], changes, w.upgrade.Wave, digest.Sum(nil))
}

func (w *walk) step() bool {
	return w.upgrade.Step(Observation{Workers: w.workers, Groups: w.groups, Health: w.drawHealth()}, w.now)
}

func (w *walk) idle() map[string]bool {
	idle := map[string]bool{}
	for _, d := range w.upgrade.Drained {
		idle[d.ID] = d.Idle
	}
	return idle
}

func TestRandomWalksGoAsBefore(t *testing.T) {
	want, err := os.ReadFile(walksFile)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(want)), "\n")
	for i, line := range lines {
		seed := uint64(i + 1)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if got := newWalk(seed).run(120); got != line {
				t.Errorf("got  %s\nwant %s", got, line)
			}
		})
	}
	if len(lines) != 300 {
		t.Errorf("%d walks, want 300", len(lines))
	}
}
