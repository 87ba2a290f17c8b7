package upgrade

import (
	"fmt"
	"math"

	"rowanshunt/internal/clock"
	"rowanshunt/internal/fault"
)

// Rules are the options of an upgrade, checked when it starts. Its fields are stored
// in this order; operators give them under the names of the tags.
type Rules struct {
	MinReplicas     int64   `json:"min_replicas"`   // answering per prefix group
	MaxShare        float64 `json:"max_share"`      // of the workers drained at once
	MaxLate         float64 `json:"max_late"`       // share of answers over their latency target
	MaxFailed       float64 `json:"max_failed"`     // share of answers that failed
	WaveMs          int64   `json:"wave_ms"`        // until a wave must be back
	SpreadMs        int64   `json:"spread_ms"`      // until a prefix group must have its replicas
	WarmMs          int64   `json:"warm_ms"`        // over which a returned worker warms up
	MinHealthyShare float64 `json:"min_well_share"` // of the workers
}

// DefaultRules are our own figures. A wave has five minutes because its workers load
// their weights anew; a prefix group has one to be answered by more replicas.
func DefaultRules() Rules {
	return Rules{
		MinReplicas: 1, MaxShare: 0.2, MaxLate: 0.2, MaxFailed: 0.05,
		WaveMs: 300_000, SpreadMs: 60_000, WarmMs: 5_000, MinHealthyShare: 0.6,
	}
}

func milliseconds(ms int64) clock.Micros { return clock.Micros(ms) * clock.Millisecond }

func (r *Rules) waveTimeout() clock.Micros   { return milliseconds(r.WaveMs) }
func (r *Rules) spreadTimeout() clock.Micros { return milliseconds(r.SpreadMs) }
func (r *Rules) warmup() clock.Micros        { return milliseconds(r.WarmMs) }

// waveSize is how many of so many workers a wave may drain, at least one.
func (r *Rules) waveSize(workers int64) int64 {
	return max(int64(math.Floor(r.MaxShare*float64(workers))), 1)
}

// Check checks the rules against the number of workers there are.
func (r *Rules) Check(workers int64) error {
	var faults fault.Collector
	if r.MinReplicas < 1 {
		faults.Addf("min_replicas", "is below 1", "keep at least one replica answering")
	}
	if r.MaxShare <= 0 || r.MaxShare > 0.5 {
		faults.Addf("max_share", "is not above 0 and at most 0.5", "take out a few at a time, e.g. 0.2")
	}
	if r.MaxLate <= 0 || r.MaxLate > 1 || r.MaxFailed <= 0 || r.MaxFailed > 1 {
		faults.Addf("max_late", "or max_failed is not a share above 0", "give shares such as 0.2 and 0.05")
	}
	if r.WaveMs <= 0 || r.SpreadMs <= 0 || r.WarmMs < 0 {
		faults.Addf("wave_ms", "spread_ms or warm_ms is not a time", "give milliseconds above 0")
	}
	if r.MinHealthyShare <= 0 || r.MinHealthyShare > 1 {
		faults.Addf("min_well_share", "is not a share above 0", "give e.g. 0.6")
	}
	if err := faults.Err(); err != nil {
		return err
	}
	if r.MinReplicas >= workers {
		return fault.New(fault.Conflict, "min_replicas", fmt.Sprintf("%d replicas cannot answer while one of %d workers is out", r.MinReplicas, workers), "ask for fewer replicas or add workers first")
	}
	return nil
}
