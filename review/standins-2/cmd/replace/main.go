// Command replace retires a store while another one is replaced, and lets a third one lose
// its disk once the replacement has had sync_s.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"rowanshunt-review-2/rig"
)

const (
	lots       = 20
	items      = 10
	syncSpan   = 5100 * time.Millisecond // sync_s
	successor  = 1 * time.Second         // the replacement comes so long after the loss
	afterOrder = 50 * time.Millisecond   // the loss comes so long after the retirement's acknowledgement
	margin     = 200 * time.Millisecond  // beyond sync_s
	downFor    = 1400 * time.Millisecond // of the store that loses its disk
	recoverAll = 12 * time.Second        // recover_s
	readFor    = 36 * time.Second        // three times as long is waited for
	overS      = 9
	settleWait = 9 * time.Second // more than contact_ms and sync_s after a start
)

func main() { os.Exit(rig.Run(run)) }

func run(s *rig.Script) int {
	workers, ok := start(s)
	if !ok {
		return rig.NotRun
	}
	accepted, ok := submit(s)
	if !ok {
		return rig.NotRun
	}
	store1, store2, store3 := s.Nodes[3], s.Nodes[4], s.Nodes[5]
	if os.Getenv("NO_RETIRE") != "1" && !s.Retire(store1, overS, 5*time.Second) {
		return rig.NotRun
	}
	if s.Trouble && !disturb(s, store1, store2, store3) {
		return rig.NotRun
	}
	code := judge(s, accepted, store1)
	for _, w := range workers {
		w.LogRuns()
	}
	return code
}

// start brings the system up, with a fourth store and three workers.
func start(s *rig.Script) (workers []*rig.Worker, ok bool) {
	s.Deploy(3)
	for _, n := range s.Nodes {
		if n.Start(true) != nil {
			return nil, false
		}
	}
	for i := range 3 {
		w, err := s.StartWorker(fmt.Sprintf("i-%d", i+1), "pisar", 48, 20*time.Millisecond, 6)
		if err != nil {
			return nil, false
		}
		workers = append(workers, w)
	}
	if _, ok := s.Configure(1, 0, 20*time.Second); !ok {
		return nil, false
	}
	store4 := s.AddStore("store-4", 14, "kapucinska")
	if store4.Start(false) != nil {
		return nil, false
	}
	time.Sleep(settleWait)
	return workers, true
}

// submit hands the lots in and reads each once.
func submit(s *rig.Script) (accepted []string, ok bool) {
	for i := range lots {
		id := fmt.Sprintf("7c41e09b%08x", i)
		if !s.SubmitLot(id, items, 10*time.Second) {
			return nil, false
		}
		accepted = append(accepted, id)
	}
	time.Sleep(2 * time.Second)
	for _, id := range accepted {
		status, page := s.ReadLot(s.Edges()[0], id, 0)
		if status != http.StatusOK || page.Sum != items {
			s.Log("lot %s is answered %d before the disruption", id, status)
			return nil, false
		}
	}
	s.Log("each lot is read (200)")
	return accepted, true
}

// disturb takes one store away for good, brings its successor, and lets another store lose
// its disk once the successor has had sync_s.
func disturb(s *rig.Script, retiring, next, gone *rig.Node) bool {
	time.Sleep(afterOrder)
	gone.LoseDisk()
	lost := time.Now()
	s.Log("%s is gone for good", gone.Name)
	time.Sleep(time.Until(lost.Add(successor)))
	store5 := s.AddStore("store-5", 15, "kralovo-pole")
	if store5.Start(false) != nil {
		return false
	}
	time.Sleep(syncSpan + margin)
	s.Log("%s runs since %v (sync_s is %v); the retirement: %s", store5.Name, syncSpan+margin, syncSpan, s.Retired(retiring))
	next.LoseDisk()
	time.Sleep(downFor)
	return next.Start(false) == nil
}

// judge reads every lot until it is answered 200, at most for readFor from now on.
func judge(s *rig.Script, accepted []string, retiring *rig.Node) int {
	begin := time.Now()
	var unread []string
	statuses := map[int]int{}
	for i := 0; ; i++ {
		unread = nil
		for k, ok := range readAll(s, accepted, i, statuses) {
			if !ok {
				unread = append(unread, accepted[k])
			}
		}
		if len(unread) == 0 || time.Since(begin) > readFor {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	took := time.Since(begin)
	s.Log("reads by status (0: none in 4 s): %v; the retirement: %s", statuses, s.Retired(retiring))
	for _, n := range s.Nodes[3:] {
		s.Log("%s runs: %v", n.Name, n.Running())
	}
	s.Log("a further lot is accepted: %v", s.SubmitLot("7c41e09bffffffff", items, 5*time.Second))
	for _, id := range unread {
		s.Log("lot %s, accepted before, is not read", id)
	}
	if len(unread) > 0 {
		s.Log("BROKEN: LOST, %d of %d accepted lots cannot be read %v after all machines are back (recover_s is %v)", len(unread), len(accepted), took.Round(time.Second), recoverAll)
		return rig.Broken
	}
	s.Log("all %d lots are read after %v", len(accepted), took.Round(time.Millisecond))
	return rig.Held
}

// readAll reads all lots once, all at a time, and tells which were answered 200.
func readAll(s *rig.Script, accepted []string, round int, statuses map[int]int) []bool {
	read := make([]bool, len(accepted))
	answers := make([]int, len(accepted))
	var wg sync.WaitGroup
	for k, id := range accepted {
		wg.Go(func() {
			status, page := s.ReadLot(s.Edges()[(round+k)%3], id, 0)
			answers[k], read[k] = status, status == http.StatusOK && page.Sum == items
		})
	}
	wg.Wait()
	for _, status := range answers {
		statuses[status]++
	}
	return read
}
