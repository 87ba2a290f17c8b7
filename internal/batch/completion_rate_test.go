package batch

import (
	"testing"

	"rowanshunt/internal/clock"
)

// In a steady flow the answer is what the flow needs; without one, the bound
// (design 8.9).
func TestRetryAfterFollowsTheCompletionRate(t *testing.T) {
	var p completionRate
	if got := p.retryAfterMs(1000, 5_000_000); got != maxRetryAfterMs {
		t.Errorf("nothing was done yet: %d", got)
	}
	now := clock.Instant(10_000_000)
	for range 3000 {
		now = now.Add(10 * clock.Millisecond)
		p.add(1000, now) // 100 tokens a ms
	}
	for _, tc := range []struct{ toks, least, most int64 }{{50_000, 400, 600}, {1, minRetryAfterMs, minRetryAfterMs}, {1 << 40, maxRetryAfterMs, maxRetryAfterMs}} {
		if got := p.retryAfterMs(tc.toks, now); got < tc.least || got > tc.most {
			t.Errorf("%d tokens at 100 a ms: after %d ms", tc.toks, got)
		}
	}
	if got := p.retryAfterMs(1, now.Add(10*rateWindow)); got != maxRetryAfterMs {
		t.Errorf("long after the last: %d", got)
	}
}

// Guards against an early retry after the rate has faded for long: the time until so many
// tokens are done no longer fits an integer then.
func TestRetryAfterOfAFadedRate(t *testing.T) {
	var rate completionRate
	now := clock.Instant(1_000_000)
	rate.add(1, now)
	for range 100 {
		now = now.Add(rateWindow / 2)
		if got := rate.retryAfterMs(1_000_000, now); got != maxRetryAfterMs {
			t.Fatalf("%d ms at %v tokens, want %d", got, rate.tokens, maxRetryAfterMs)
		}
	}
}
