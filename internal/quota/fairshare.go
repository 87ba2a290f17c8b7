package quota

// Demand is what one tenant wants, and its guarantee.
type Demand struct {
	Name      string
	Want      Amount
	Guarantee Guarantee
}

// leastShare stands in for a guarantee of nothing, so that such a tenant still gets
// what the others leave.
const leastShare = 1e-4

// Precision of the search for the highest level.
const (
	overfillTolerance  = 1e-9 // by which rounding may pass the fleet
	exhaustedTolerance = 1e-6 // a resource is used up this close to the fleet
	bisections         = 60   // more than a float64 has bits of mantissa
)

// Allocate divides a fleet by weighted max-min fairness over dominant shares
// (design 17.2). All demands grow at one pace in units of their guarantees, until a demand
// is met, at its cap, or uses a resource that is used up. Nobody gets more than it
// wants, so what one leaves idle is the others'. Guarantees come to at most the
// fleet, so a demand within its guarantee is met in full.
func Allocate(fleet Amount, demands []Demand) []Amount {
	f := waterFill{fleet: fleet, demands: make([]growingDemand, len(demands))}
	for i, demand := range demands {
		f.demands[i] = newGrowingDemand(fleet, demand)
	}
	level := f.fill()
	allocated := make([]Amount, len(demands))
	for i := range f.demands {
		allocated[i] = f.demands[i].amount(level)
	}
	return allocated
}

// growing marks a demand that has not stopped.
const growing = -1

// growingDemand is one demand during the filling.
type growingDemand struct {
	want Amount // within the cap and the fleet
	// need is the want in units of the guarantee: at a level the demand has
	// min(level, need) of them.
	need      float64
	stoppedAt float64 // the level at which it stopped, or growing
}

func newGrowingDemand(fleet Amount, demand Demand) growingDemand {
	want := demand.Want
	if limit := demand.Guarantee.Cap; limit > 0 {
		if excess := want.Dominant(fleet) / limit; excess > 1 {
			want = want.times(1 / excess)
		}
	}
	if excess := want.Dominant(fleet); excess > 1 {
		want = want.times(1 / excess)
	}
	unit := demand.Guarantee.atLeast(leastShare).of(fleet)
	return growingDemand{want: want, need: want.Dominant(unit), stoppedAt: growing}
}

// amount is what the demand has at a level.
func (g *growingDemand) amount(level float64) Amount {
	if g.stoppedAt >= 0 {
		level = g.stoppedAt
	}
	if g.need <= 0 {
		return Amount{}
	}
	return g.want.times(min(level/g.need, 1))
}

// waterFill raises the demands on one fleet.
type waterFill struct {
	fleet   Amount
	demands []growingDemand
}

// fill raises the level until no demand can grow, and returns it.
func (w *waterFill) fill() float64 {
	top := 0.0
	for i := range w.demands {
		top = max(top, w.demands[i].need)
	}
	level := 0.0
	for level < top {
		if w.fits(top) {
			return top
		}
		level = w.highestFit(level, top)
		if !w.stopExhausted(level) {
			break
		}
	}
	return level
}

func (w *waterFill) total(level float64) Amount {
	var total Amount
	for i := range w.demands {
		total = total.plus(w.demands[i].amount(level))
	}
	return total
}

func (w *waterFill) fits(level float64) bool {
	return w.total(level).Dominant(w.fleet) <= 1+overfillTolerance
}

// highestFit bisects for the highest level that fits; low fits and high does not.
func (w *waterFill) highestFit(low, high float64) float64 {
	for range bisections {
		if middle := (low + high) / 2; w.fits(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// stopExhausted stops the demands that use a resource which is used up at the level,
// and reports whether any demand still grows.
func (w *waterFill) stopExhausted(level float64) bool {
	total := w.total(level)
	slotsExhausted := fraction(total.Slots, w.fleet.Slots) >= 1-exhaustedTolerance
	kvExhausted := fraction(total.Kv, w.fleet.Kv) >= 1-exhaustedTolerance
	anyGrows := false
	for i := range w.demands {
		demand := &w.demands[i]
		if demand.stoppedAt >= 0 || demand.need <= level {
			continue
		}
		if slotsExhausted && demand.want.Slots > 0 || kvExhausted && demand.want.Kv > 0 {
			demand.stoppedAt = level
		} else {
			anyGrows = true
		}
	}
	return anyGrows
}
