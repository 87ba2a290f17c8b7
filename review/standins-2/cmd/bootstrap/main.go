// Command bootstrap kills the counted edge nodes during the first start of the system and
// starts them again.
package main

import (
	"os"
	"time"

	"rowanshunt-review-2/rig"
)

// The bounds: the system serves recover_s (12 s) after all are back; contact_ms (3 s)
// after the last start the core is settled, and within ack_ms (4 s) from then the order
// is acknowledged. Three times the longer of the two is waited for.
const (
	killAfter = 1 * time.Second
	downFor   = 500 * time.Millisecond
	waitFor   = 36 * time.Second
	bound     = 12 * time.Second
)

func main() { os.Exit(rig.Run(run)) }

func run(s *rig.Script) int {
	s.Deploy(3)
	for _, n := range s.Nodes {
		if n.Start(true) != nil {
			return rig.NotRun
		}
	}
	if s.Trouble {
		time.Sleep(killAfter)
		for _, n := range s.Edges() {
			s.Log("%s is killed (SIGKILL)", n.Name)
			n.Kill()
		}
		time.Sleep(downFor)
		// "bootstrap is true only at the very first start of the whole system".
		again := os.Getenv("BOOTSTRAP_AGAIN") == "1"
		for _, n := range s.Edges() {
			if n.Start(again) != nil {
				return rig.NotRun
			}
		}
	}
	took, acknowledged := s.Configure(1, 0, waitFor)
	for _, n := range s.Nodes {
		s.Log("%s runs: %v; %d log lines of bootstrap_no_majority", n.Name, n.Running(), len(n.LogLines("bootstrap_no_majority")))
		if !n.Running() {
			return rig.NotRun
		}
	}
	if !acknowledged || took > bound {
		s.Log("BROKEN: the first configuration was not acknowledged within %v of all machines being back", bound)
		return rig.Broken
	}
	return rig.Held
}
