package balancer

// lately counts in two buckets of time, the one that runs and the one before, so
// that what is older fades without a record of each event.
type lately[T any] struct {
	sinceUs     int64
	now, before T
}

// turn moves on to the bucket of a moment.
func (l *lately[T]) turn(nowUs, widthUs int64) {
	var none T
	switch ageUs := nowUs - l.sinceUs; {
	case ageUs >= 2*widthUs:
		l.before, l.now, l.sinceUs = none, none, nowUs
	case ageUs >= widthUs:
		l.before, l.now, l.sinceUs = l.now, none, l.sinceUs+widthUs
	}
}
