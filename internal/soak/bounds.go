package soak

import "rowanshunt/internal/clock"

// The bounds within which the deployment must do things, as its options state them. The
// checks use no others.
const (
	contactBound  = 3000 * clock.Millisecond // after it, rules with a bound hold for a node again
	graceBound    = 8 * clock.Second         // from SIGTERM until the end of the process
	lostBound     = 200 * clock.Millisecond  // for a request that was not passed on
	applyBound    = 2000 * clock.Millisecond // until a configuration is in force everywhere
	settleBound   = 1000 * clock.Millisecond // until an accepted job is readable everywhere
	cancelBound   = 3000 * clock.Millisecond // until a cancelled job starts no item
	recoverBound  = 12 * clock.Second        // until service is back after a loss of all
	pollBound     = 120 * clock.Second       // for which results stay readable
	syncBound     = 5100 * clock.Millisecond // from the return of a machine until the next loss may come
	syncBoundText = "5.1"                    // the same in seconds
)

// goalMs, gapMs and limitMs are those of all routes for requests.
const (
	goalMs  = 200
	gapMs   = 250
	limitMs = 5000
)

// clientPatience is the silence after which clients give a stream up: the longest of two
// seconds, four times the target and eight times the pause.
const clientPatience = 2 * clock.Second
