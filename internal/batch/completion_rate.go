package batch

import "rowanshunt/internal/clock"

// completionRate is how fast a shard's items were completed lately; from it a job that does
// not fit is answered when it may (design 8.9).
type completionRate struct {
	tokens float64 // of completed items, decaying over rateWindow
	since  clock.Instant
}

// Figures of the rate; our own.
const (
	rateWindow      = 2 * clock.Second
	minRetryAfterMs = 50
	maxRetryAfterMs = 2000
)

func (cr *completionRate) fade(now clock.Instant) {
	if cr.since != 0 {
		if gone := float64(now.Sub(cr.since)) / float64(rateWindow); gone < 1 {
			cr.tokens *= 1 - gone
		} else {
			cr.tokens = 0
		}
	}
	cr.since = now
}

// add counts tokens of an item that was listed.
func (cr *completionRate) add(tokens int64, now clock.Instant) {
	cr.fade(now)
	cr.tokens += float64(tokens)
}

// retryAfterMs is when so many tokens more will have been done at this pace.
func (cr *completionRate) retryAfterMs(tokens int64, now clock.Instant) int64 {
	cr.fade(now)
	// In a steady flow the fading sum holds what is done in rateWindow.
	if cr.tokens <= 0 {
		return maxRetryAfterMs
	}
	ms := float64(tokens) / cr.tokens * float64(rateWindow) / 1000
	// Bounded before the conversion: what does not fit an integer converts differently on
	// each kind of processor.
	return int64(min(max(ms, minRetryAfterMs), maxRetryAfterMs))
}
