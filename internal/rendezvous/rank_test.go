package rendezvous

import (
	"fmt"
	"testing"
)

// When a node goes, only its keys change hands, and the keys are spread.
func TestRank(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	held := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		h := Holder(key, nodes)
		held[h]++
		if Rank(key, nodes)[0] != h {
			t.Fatalf("rank and holder differ for %s", key)
		}
		if h != "c" && Holder(key, []string{"e", "d", "b", "a"}) != h {
			t.Errorf("%s changed hands though its holder stayed", key)
		}
	}
	for _, n := range nodes {
		if held[n] < 130 || held[n] > 270 {
			t.Errorf("%s holds %d of 1000 keys", n, held[n])
		}
	}
	if Holder("x", nil) != "" || len(Rank("x", nil)) != 0 {
		t.Error("a key without nodes has a holder")
	}
}
