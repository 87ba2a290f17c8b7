package balancer

import "testing"

// Counts stay for one to two buckets and are then gone.
func TestLately(t *testing.T) {
	l := lately[int]{sinceUs: 100}
	for _, tc := range []struct {
		atUs        int64
		now, before int
	}{{100, 1, 0}, {109, 2, 0}, {110, 1, 2}, {119, 2, 2}, {120, 1, 2}, {145, 1, 0}, {155, 1, 1}, {300, 1, 0}} {
		l.turn(tc.atUs, 10)
		l.now++
		if l.now != tc.now || l.before != tc.before {
			t.Errorf("at %d: %d now, %d before, want %d and %d", tc.atUs, l.now, l.before, tc.now, tc.before)
		}
	}
}
