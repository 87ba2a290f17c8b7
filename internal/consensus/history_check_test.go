package consensus

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// rapidShortDivisor is by how much rapid divides the number of checks with -short.
const rapidShortDivisor = 5

// CheckHistories plays drawn scripts, as many as checks says unless the command
// line does, and checks each history against the model. least is how many
// requests must be acknowledged, refused and left unsure, each.
func CheckHistories(t *testing.T, checks, least int, first *State, draw func(*rapid.T) *HistoryScript, model porcupine.Model) {
	if testing.Short() {
		checks *= rapidShortDivisor // as many scripts as without it: least asks for their outcomes
	}
	// A script that failed is not stored: its history may not recur.
	for name, value := range map[string]string{"rapid.seed": "19", "rapid.checks": fmt.Sprint(checks), "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = flag.Set(name, f.DefValue) }()
	}
	counts := [len(outcomeNames)]int{}
	rapid.Check(t, func(rt *rapid.T) {
		script := draw(rt)
		var history []porcupine.Operation
		synctest.Test(t, func(*testing.T) { history = script.play(first) })
		for _, op := range history {
			if !op.Input.(HistoryOp).Reads() {
				counts[op.Output.(HistoryAnswer).outcome]++
			}
		}
		for _, part := range model.Partition(history) {
			if result := porcupine.CheckOperationsTimeout(model, part, 20*time.Second); result != porcupine.Ok {
				logHistory(t, part)
				rt.Fatalf("the history is %s", result)
			}
		}
	})
	t.Logf("%d requests acknowledged, %d refused, %d unsure", counts[acknowledged], counts[refused], counts[unsure])
	if counts[acknowledged] < least || counts[refused] < least || counts[unsure] < least {
		t.Error("the histories test too little")
	}
}

func logHistory(t *testing.T, history []porcupine.Operation) {
	slices.SortFunc(history, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	for _, op := range history {
		t.Logf("%8.3f to %8.3f ms: %T%+v -> %+v", float64(op.Call)/1e6, float64(op.Return)/1e6, op.Input, op.Input, op.Output)
	}
}
