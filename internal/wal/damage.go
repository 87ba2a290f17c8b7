package wal

// Damage describes the part of a file that is not valid.
type Damage struct {
	Offset   int64
	CutBytes int64 // from there to the end of the file
	Reason   string
	// Lost: the damage lies in what had been synced, so something that was
	// acknowledged may be gone. Else it is the torn end of the last record group,
	// which was never acknowledged.
	Lost bool
}

// gap is the first offset of a file at which its contents do not continue: the bytes
// there are not valid, or the file ends too early. Scanning stops at it.
type gap struct {
	offset int64
	reason string
}

// Error makes a gap an error, so that readers return it like one.
func (g *gap) Error() string { return g.reason }

// damage describes the gap in a file of totalBytes.
func (g *gap) damage(totalBytes int64, lost bool) *Damage {
	return &Damage{Offset: g.offset, CutBytes: totalBytes - g.offset, Reason: g.reason, Lost: lost}
}
