package quota

// Amount is an amount of a service's fleet: decode slots and tokens of KV cache.
// Its fields travel in this order.
type Amount struct {
	Slots float64
	Kv    float64
}

func (a Amount) plus(b Amount) Amount  { return Amount{Slots: a.Slots + b.Slots, Kv: a.Kv + b.Kv} }
func (a Amount) minus(b Amount) Amount { return Amount{Slots: a.Slots - b.Slots, Kv: a.Kv - b.Kv} }

// times rounds each product, so that no caller's sum is fused with it (design 1.7).
func (a Amount) times(f float64) Amount {
	return Amount{Slots: float64(a.Slots * f), Kv: float64(a.Kv * f)}
}

// atLeast raises both resources to those of b.
func (a Amount) atLeast(b Amount) Amount {
	return Amount{Slots: max(a.Slots, b.Slots), Kv: max(a.Kv, b.Kv)}
}

// Dominant is the larger of the two resources as a fraction of a total. A resource
// that the total does not have does not count.
func (a Amount) Dominant(total Amount) float64 {
	return max(fraction(a.Slots, total.Slots), fraction(a.Kv, total.Kv))
}

func fraction(value, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return value / total
}
