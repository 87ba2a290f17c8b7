package discovery

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/register"
	"rowanshunt/internal/rendezvous"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/shared"
)

// Times of the news path (design 5.2, 5.3).
const (
	renewUs      = 500_000
	soonUs       = 100_000
	earlyUs      = 1_000_000
	forwardUs    = 200_000
	subscribedUs = 2_500_000
	buryUs       = 60_000_000
	maxWorkers   = 20_000
)

// Config is what a discovery is made of.
type Config struct {
	shared.Runtime
	HbUs     int64
	Services func() []string // of the configuration in force
	// Loads gives what this node heard of workers itself, or with all that
	// others told it; Hear takes what a peer heard, "" the zone's home.
	Loads  func(all bool) []Load
	Hear   func(from string, ps []Load)
	OnNews func(Worker)
	Dir    string // folder for what outlives a restart, "" without a disk
	// Core gives the membership of the core as last committed, nil if this node
	// knows none yet. Without the function a node is alone.
	Core func() *register.Membership
}

type entry struct {
	Worker
	seenUs int64 // steady clock at its last beat
	buried int64
	// settled: a majority of the core holds that this worker drains, or that it
	// is gone (design 5.4).
	settled   bool
	departure uint64 // its newest number in the departure log
}

// Discovery owns the node's table of workers. All but Look runs on the event loop.
type Discovery struct {
	cfg     Config
	ctx     context.Context
	workers map[string]*entry
	subs    map[string]*subscriber
	pending map[string]bool // workers whose beats the homes have yet to hear of
	dir     atomic.Pointer[Directory]
	syncUs  int64 // when a home last answered
	synced  atomic.Bool
	startUs int64
	sig     uint64
	journal *journal

	renewedUs int64
	asks      int

	departures    *departureLog
	reader        departureReader
	contact       coreContact
	silentSources map[string]int64 // sources that did not answer, or hear no core
}

// startJournal reads the journal and goes on with it; where the disk gives or takes
// none the node does without.
func (f *Discovery) startJournal() {
	d, old, err := openJournal(f.cfg.Dir, f.cfg.Log)
	if err != nil {
		f.cfg.Log.Warn("journal_unavailable", "err", err)
		return
	}
	f.journal = d
	context.AfterFunc(f.ctx, d.wal.Close)
	for _, w := range old {
		f.take(w, f.startUs)
	}
	f.cfg.Loop.Every(journalUs, f.note)
}

// New joins the news path.
func New(ctx context.Context, cfg Config) (*Discovery, error) {
	f := &Discovery{cfg: cfg, ctx: ctx, workers: map[string]*entry{}, subs: map[string]*subscriber{}, pending: map[string]bool{}, startUs: eventloop.NowUs(),
		departures: newDepartureLog(), reader: departureReader{cursors: map[string]departureCursor{}},
		contact: coreContact{memberUs: map[string]int64{}}, silentSources: map[string]int64{}}
	f.dir.Store(&Directory{BySvc: map[string][]*Worker{}, ByID: map[string]*Worker{}})
	if cfg.Dir != "" {
		f.startJournal()
	}
	rpc.On(cfg.Mux, "flora.news", f.onNews)
	rpc.On(cfg.Mux, "flora.sub", f.onSub)
	rpc.On(cfg.Mux, "flora.departures", f.onDepartures)
	cfg.Loop.Every(soonUs, func() {
		early := eventloop.NowUs()-f.startUs < earlyUs
		if early || !f.synced.Load() || nextRenew(&f.renewedUs) {
			f.renew()
		}
	})
	cfg.Loop.Every(100_000, f.publish)
	cfg.Loop.Every(forwardUs, f.forward)
	return f, nil
}

// note writes the workers of the directory down.
func (f *Discovery) note() {
	nowUs := eventloop.NowUs()
	var ws []Worker
	for _, e := range f.workers {
		if !e.Old && f.usable(e) {
			w := e.Worker
			w.AgeUs = nowUs - e.seenUs
			ws = append(ws, w)
		}
	}
	f.journal.write(ws)
}

// Look gives the newest directory; any goroutine may call it.
func (f *Discovery) Look() *Directory { return f.dir.Load() }

// Known lists all registered workers, in use or not; it asks the event loop.
func (f *Discovery) Known() []Worker {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	out, err := eventloop.Ask(ctx, f.cfg.Loop, func() []Worker {
		var ws []Worker
		for _, e := range f.workers {
			if !e.Gone && f.syncUs-e.seenUs < f.LeaseUs() {
				ws = append(ws, e.Worker)
			}
		}
		return ws
	})
	if err != nil {
		return nil
	}
	return out
}

// Synced tells whether a home has answered this life of the node.
func (f *Discovery) Synced() bool { return f.synced.Load() }

// freshUs is the age up to which a worker's beats are as usual: only what is
// older is told one by one, so that what a node hears follows the workers that
// are late and not all of them (design 5.2).
func (f *Discovery) freshUs() int64 { return f.cfg.HbUs * 3 / 2 }

// LeaseUs is how long a silent worker keeps its place.
func (f *Discovery) LeaseUs() int64 { return 3*f.cfg.HbUs + 700_000 }

// take merges one worker, true if that is news (design 5.1): gone is for good,
// else the higher seq wins.
func (f *Discovery) take(w Worker, nowUs int64) bool {
	e := f.workers[w.ID]
	seenUs := nowUs - w.AgeUs
	if w.Old && (e != nil || nowUs-f.startUs > oldUs) {
		return false
	}
	if e == nil {
		if len(f.workers) >= maxWorkers {
			return false
		}
		e = &entry{Worker: w, seenUs: seenUs}
		f.workers[w.ID] = e
		if w.Gone {
			e.buried = nowUs
		}
		if !w.Up() {
			e.departure = f.departures.add(w.ID, nowUs)
		}
		f.cfg.Log.Debug("worker_found", "worker", w.ID, "svc", w.Svc, "addr", w.Addr, "phase", w.Phase)
		return true
	}
	e.seenUs = max(e.seenUs, seenUs)
	if e.Gone {
		return false
	}
	if w.Gone {
		e.Gone, e.buried, e.settled = true, nowUs, false
		e.departure = f.departures.add(w.ID, nowUs)
		return true
	}
	if w.Seq < e.Seq || w.Seq == e.Seq && !e.Old {
		return false
	}
	before, wasUp := e.state(), e.Up()
	e.Worker = w
	if wasUp && !w.Up() {
		e.settled = false
		e.departure = f.departures.add(w.ID, nowUs)
	}
	return e.state() != before
}

// homes lists the home node of a service in each zone: one of the zone's
// strong nodes if it has any (design 5.2).
func (f *Discovery) homes(svc string, v *gossip.View) map[string]string {
	byAz := map[string][]string{}
	for _, p := range v.Strong(f.cfg.Self.Role) {
		byAz[p.Az] = append(byAz[p.Az], p.Name)
	}
	weakByAz := map[string][]string{}
	for i := range v.All {
		if p := &v.All[i]; p.Alive && p.Role == f.cfg.Self.Role && !p.Leaving && byAz[p.Az] == nil {
			weakByAz[p.Az] = append(weakByAz[p.Az], p.Name)
		}
	}
	for az, names := range weakByAz {
		byAz[az] = names
	}
	out := map[string]string{}
	for az, names := range byAz {
		out[az] = rendezvous.Holder("home/"+svc, names)
	}
	return out
}

// publish renews the directory if it changed. A silent worker's lease ends
// only while news comes in: a node that is cut off keeps what it had.
func (f *Discovery) publish() {
	nowUs := eventloop.NowUs()
	var sum uint64
	for id, e := range f.workers {
		if e.Old && nowUs-f.startUs > oldUs {
			delete(f.workers, id) // nothing was heard of it since the restart
			continue
		}
		if e.Gone && nowUs-e.buried > buryUs || nowUs-e.seenUs > 5*buryUs {
			delete(f.workers, id)
			continue
		}
		if f.usable(e) {
			sum += e.state() | 1
		}
	}
	if sum == f.sig {
		return
	}
	f.sig = sum
	if f.journal != nil {
		f.note()
	}
	d := &Directory{BySvc: map[string][]*Worker{}, ByID: map[string]*Worker{}}
	for _, e := range f.workers {
		if f.usable(e) {
			w := e.Worker
			d.BySvc[w.Svc] = append(d.BySvc[w.Svc], &w)
			d.ByID[w.ID] = &w
		}
	}
	for _, ws := range d.BySvc {
		sort.Slice(ws, func(i, j int) bool { return ws[i].ID < ws[j].ID })
	}
	f.dir.Store(d)
}

func (f *Discovery) usable(e *entry) bool {
	return e.Up() && f.syncUs-e.seenUs < f.LeaseUs()
}

// Trace tells what this node knows of a worker, nil if nothing, and whether it
// is in the directory.
func (f *Discovery) Trace(ctx context.Context, id string) (w *Worker, inUse bool) {
	got, err := eventloop.Ask(ctx, f.cfg.Loop, func() *Worker {
		e := f.workers[id]
		if e == nil {
			return nil
		}
		c := e.Worker
		c.AgeUs = eventloop.NowUs() - e.seenUs
		return &c
	})
	if err != nil {
		return nil, false
	}
	return got, f.Look().ByID[id] != nil
}

// HomeOf names the home of a service in this node's zone.
func (f *Discovery) HomeOf(svc string) string {
	return f.homes(svc, f.cfg.Gossip.Look())[f.cfg.Self.Az]
}
