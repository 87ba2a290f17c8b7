package soak

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"rowanshunt/internal/clock"
)

const (
	hostTick    = 20 * clock.Millisecond
	delayPeriod = clock.Second // between two looks at the nodes' waiting times
	// hostLag is how long a process lacks the processor when its machine counts as slowed: a
	// packet that waits for so long counts as such by the rules.
	hostLag = 500 * clock.Millisecond
)

// hostWatch records when processes did not get the processor for hostLag, since all of them
// share one machine, with whatever else runs there.
type hostWatch struct {
	record    *Record
	processes func() []*process
	waited    map[string]clock.Micros // by thread: how long it has waited for the processor
}

// watchSelf records when this process lacked the processor, until ctx ends.
func (h *hostWatch) watchSelf(ctx context.Context) {
	for last := clock.Now(); ctx.Err() == nil; {
		clock.Sleep(ctx, hostTick.Duration())
		now := clock.Now()
		if now.Sub(last) > hostTick+hostLag {
			h.record.addNode("", HostSlowed, "")
		}
		last = now
	}
}

// watchNodes records which nodes lacked it, until ctx ends.
func (h *hostWatch) watchNodes(ctx context.Context) {
	h.waited = map[string]clock.Micros{}
	for ctx.Err() == nil {
		waited := map[string]clock.Micros{}
		for _, p := range h.processes() {
			if h.lacked(p.pid(), waited) {
				h.record.addNode(p.spec.name, HostSlowed, "")
			}
		}
		h.waited = waited
		clock.Sleep(ctx, delayPeriod.Duration())
	}
}

// lacked tells whether a thread of the process has waited for hostLag since the last look.
// It adds what each thread has waited so far.
func (h *hostWatch) lacked(pid int, waited map[string]clock.Micros) (lacked bool) {
	if pid == 0 {
		return false
	}
	files, err := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/schedstat")
	if err != nil {
		return false
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		fields := strings.Fields(string(raw)) // nanoseconds: on the processor, waiting for it
		if len(fields) < 2 {
			continue
		}
		nanoseconds, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			continue
		}
		waited[file] = clock.Micros(nanoseconds/1000) * clock.Microsecond
		if before, ok := h.waited[file]; ok && waited[file]-before > hostLag {
			lacked = true
		}
	}
	return lacked
}
