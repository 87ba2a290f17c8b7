package discovery

import (
	"context"
	"maps"
	"sync"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/register"
	"rowanshunt/internal/rpc"
)

type newsCall struct {
	Home    bool // pass it on to the zone's subscribers
	Workers []Worker
}

// spreadTimeout bounds the acknowledgement of a beat; a worker waits for one
// second.
const spreadTimeout = 750 * time.Millisecond

// heartbeatPlan is what a beat calls for.
type heartbeatPlan struct {
	worker   Worker
	homes    map[string]string
	news     bool // something changed
	leaving  bool // the worker drains or is gone
	settled  bool // a majority of the core holds that already
	outdated bool // a later beat, already known, said that it is up
}

// Heartbeat takes a worker's own word and answers where it may beat next. It returns
// nil only if the word is where all that send to this worker learn it in time:
// for a worker that leaves, at a majority of the core (design 5.4).
func (f *Discovery) Heartbeat(ctx context.Context, w Worker) (home string, err error) {
	p, err := eventloop.Ask(ctx, f.cfg.Loop, func() heartbeatPlan { return f.planHeartbeat(w) })
	if err != nil {
		return "", err
	}
	if p.news {
		if f.cfg.OnNews != nil {
			f.cfg.OnNews(p.worker)
		}
		f.cfg.Log.Info("worker_news", "worker", w.ID, "svc", p.worker.Svc, "phase", p.worker.Phase, "gone", p.worker.Gone)
	}
	if v := f.cfg.Gossip.Look().Get(p.homes[p.worker.Az]); v != nil {
		home = v.Ctl
	}
	switch {
	case p.outdated:
		return "", fault.New(fault.Refused, "seq", "a later beat said that the worker is up", "raise seq with each beat")
	case p.leaving && !p.settled:
		return home, f.confirmDeparture(ctx, &p)
	case p.news:
		return home, f.announce(ctx, &p)
	}
	_ = f.cfg.Loop.Do(ctx, func() { f.pending[p.worker.ID] = true })
	if !f.inContact(f.cfg.Gossip.Look()) {
		return "", outOfContact()
	}
	return home, nil
}

func outOfContact() error {
	return fault.New(fault.Refused, "heartbeat", "this node sees no majority of the core", "beat at another node")
}

// planHeartbeat merges a beat; it runs on the event loop.
func (f *Discovery) planHeartbeat(w Worker) heartbeatPlan {
	if old := f.workers[w.ID]; w.Gone && old != nil {
		w.Svc, w.Addr, w.Az = old.Svc, old.Addr, old.Az
	}
	p := heartbeatPlan{worker: w, leaving: !w.Up(), news: f.take(w, eventloop.NowUs())}
	if p.news {
		f.publish()
	}
	if e := f.workers[w.ID]; p.leaving && e != nil {
		p.outdated = e.Up()
		p.settled = e.settled && (e.Gone || !w.Gone)
	}
	p.homes = f.homes(w.Svc, f.cfg.Gossip.Look())
	return p
}

// confirmDeparture brings a departure to the homes and to the core, and fails
// unless a majority of the core holds it.
func (f *Discovery) confirmDeparture(ctx context.Context, p *heartbeatPlan) error {
	core := f.coreMembership()
	took := f.spread(ctx, p.worker, p.homes, f.coreMembers())
	if f.cfg.Core != nil && !holdsMajority(core, took) {
		return fault.New(fault.Refused, "heartbeat", "no majority of the core heard that the worker leaves", "tell another node")
	}
	_ = f.cfg.Loop.Do(f.ctx, func() {
		if e := f.workers[p.worker.ID]; e != nil && !e.Up() && e.Gone == p.worker.Gone {
			e.settled = true
		}
	})
	return nil
}

// announce brings other news to the homes. That some were slow to take it is no
// reason to send the worker on: a busy system would only get busier.
func (f *Discovery) announce(ctx context.Context, p *heartbeatPlan) error {
	f.spread(ctx, p.worker, p.homes, nil)
	if !f.inContact(f.cfg.Gossip.Look()) {
		return outOfContact()
	}
	return nil
}

// forward brings the beats without news of the last moment to the homes, each
// in one call: calls follow the homes, not the beats (design 5.2).
func (f *Discovery) forward() {
	if len(f.pending) == 0 {
		return
	}
	nowUs := eventloop.NowUs()
	v := f.cfg.Gossip.Look()
	homes := map[string]map[string]string{} // by service
	byHome := map[string][]Worker{}
	for id := range f.pending {
		e := f.workers[id]
		if e == nil {
			continue
		}
		if homes[e.Svc] == nil {
			homes[e.Svc] = f.homes(e.Svc, v)
		}
		w := e.Worker
		w.AgeUs = nowUs - e.seenUs
		for _, name := range homes[e.Svc] {
			if name != f.cfg.Self.Name {
				byHome[name] = append(byHome[name], w)
			}
		}
	}
	clear(f.pending)
	for name, ws := range byHome {
		go f.send(name, false, ws...)
	}
}

func (f *Discovery) send(name string, home bool, ws ...Worker) error {
	p := f.cfg.Gossip.Look().Get(name)
	if p == nil {
		return fault.New(fault.Unreached, name, "is not in sight", "")
	}
	return f.sendTo(p.Addr, home, ws...)
}

func (f *Discovery) sendTo(addr string, home bool, ws ...Worker) error {
	ctx, cancel := context.WithTimeout(f.ctx, 700*time.Millisecond)
	defer cancel()
	return f.cfg.Transport.Call(ctx, addr, "flora.news", &newsCall{Home: home, Workers: ws}, nil)
}

// listeners collects the names of those that took a piece of news.
type listeners struct {
	mu   sync.Mutex
	took map[string]bool
}

func (l *listeners) add(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.took[name] = true
}

func (l *listeners) names() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.took)
}

// spread brings news to the core members given and to the home of every zone,
// which passes it on; where a home does not answer, to the zone's edge nodes
// themselves. It tells who took it in time, this node included.
func (f *Discovery) spread(ctx context.Context, w Worker, homes map[string]string, core []register.Member) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	heard := &listeners{took: map[string]bool{f.cfg.Self.Name: true}}
	var wg sync.WaitGroup
	tell := func(name string, home bool) error {
		err := f.send(name, home, w)
		if err == nil {
			heard.add(name)
		}
		return err
	}
	for _, m := range core {
		if m.Name != f.cfg.Self.Name {
			// A member that is a home too is told apart from its subscribers,
			// the slowest of which its answer would wait for.
			wg.Go(func() {
				if f.sendTo(f.addrOf(m), false, w) == nil {
					heard.add(m.Name)
				}
			})
		}
	}
	for az, name := range homes {
		wg.Go(func() {
			if name == f.cfg.Self.Name {
				f.toSubscribers(w)
				return
			}
			if tell(name, true) == nil {
				return
			}
			v := f.cfg.Gossip.Look()
			var direct sync.WaitGroup
			for _, n := range v.Names(func(s *gossip.NodeState) bool {
				return s.Az == az && s.Role == f.cfg.Self.Role && s.Alive && s.Name != f.cfg.Self.Name && s.Name != name
			}) {
				direct.Go(func() { _ = tell(n, false) })
			}
			direct.Wait()
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return heard.names()
}

func (f *Discovery) toSubscribers(w Worker) {
	addrs, err := eventloop.Ask(f.ctx, f.cfg.Loop, func() []string {
		var out []string
		for _, s := range f.subs {
			out = append(out, s.addr)
		}
		return out
	})
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	for _, a := range addrs {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(f.ctx, 600*time.Millisecond)
			defer cancel()
			_ = f.cfg.Transport.Call(ctx, a, "flora.news", &newsCall{Workers: []Worker{w}}, nil)
		})
	}
	wg.Wait()
}

func (f *Discovery) onNews(ctx context.Context, in *newsCall) (*rpc.Nothing, error) {
	_, err := eventloop.Ask(ctx, f.cfg.Loop, func() bool {
		nowUs := eventloop.NowUs()
		news := false
		for _, w := range in.Workers {
			news = f.take(w, nowUs) || news
		}
		if news {
			f.publish()
		}
		return news
	})
	if err == nil && in.Home {
		for _, w := range in.Workers {
			f.toSubscribers(w)
		}
	}
	return &rpc.Nothing{}, err
}
