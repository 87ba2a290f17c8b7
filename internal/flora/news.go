package flora

import (
	"context"
	"sync"
	"time"

	"rowanshunt/internal/pollen"
	"rowanshunt/internal/swarm"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
)

type newsCall struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library
	Home     bool     // pass it on to the zone's subscribers
	Workers  []Worker
}

// Beat takes a worker's own word and answers where it may beat next. A change
// is at every forager in reach before this returns (design 5.2).
func (f *Flora) Beat(ctx context.Context, w Worker) (home string, err error) {
	type plan struct {
		news  bool
		w     Worker
		homes map[string]string
	}
	p, err := waggle.Ask(ctx, f.cfg.Floor, func() plan {
		old := f.workers[w.ID]
		if w.Gone && old != nil {
			w.Svc, w.Addr, w.Az = old.Svc, old.Addr, old.Az
		}
		news := f.take(w, waggle.NowUs())
		if news {
			f.publish()
		}
		return plan{news: news, w: w, homes: f.homes(w.Svc, f.cfg.Swarm.Look())}
	})
	if err != nil {
		return "", err
	}
	if p.news {
		if f.cfg.OnNews != nil {
			f.cfg.OnNews(p.w)
		}
		f.cfg.Log.Info("worker_news", "worker", w.ID, "svc", p.w.Svc, "phase", p.w.Phase, "gone", p.w.Gone)
	}
	if v := f.cfg.Swarm.Look().Get(p.homes[p.w.Az]); v != nil {
		home = v.Ctl
	}
	if p.news {
		f.spread(ctx, p.w, p.homes)
		return home, nil
	}
	_ = f.cfg.Floor.Do(ctx, func() { f.pending[p.w.ID] = true })
	return home, nil
}

// forward brings the beats without news of the last moment to the homes, each
// in one call: calls follow the homes, not the beats (design 5.2).
func (f *Flora) forward() {
	if len(f.pending) == 0 {
		return
	}
	nowUs := waggle.NowUs()
	v := f.cfg.Swarm.Look()
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

func (f *Flora) send(name string, home bool, ws ...Worker) error {
	p := f.cfg.Swarm.Look().Get(name)
	if p == nil {
		return wax.New(wax.Unreached, name, "is not in sight", "")
	}
	ctx, cancel := context.WithTimeout(f.ctx, 700*time.Millisecond)
	defer cancel()
	return f.cfg.Mesh.Call(ctx, p.Addr, "flora.news", &newsCall{Home: home, Workers: ws}, nil)
}

// spread brings news to the home of every zone, which passes it on; where a
// home does not answer, to the zone's foragers themselves.
func (f *Flora) spread(ctx context.Context, w Worker, homes map[string]string) {
	var wg sync.WaitGroup
	for az, name := range homes {
		wg.Go(func() {
			if name == f.cfg.Self.Name {
				f.toSubscribers(w)
				return
			}
			if f.send(name, true, w) == nil {
				return
			}
			v := f.cfg.Swarm.Look()
			var direct sync.WaitGroup
			for _, n := range v.Names(func(s *swarm.Sighting) bool {
				return s.Az == az && s.Role == f.cfg.Self.Role && s.Alive && s.Name != f.cfg.Self.Name && s.Name != name
			}) {
				direct.Go(func() { _ = f.send(n, false, w) })
			}
			direct.Wait()
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	timer := time.NewTimer(750 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (f *Flora) toSubscribers(w Worker) {
	addrs, err := waggle.Ask(f.ctx, f.cfg.Floor, func() []string {
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
			_ = f.cfg.Mesh.Call(ctx, a, "flora.news", &newsCall{Workers: []Worker{w}}, nil)
		})
	}
	wg.Wait()
}

func (f *Flora) onNews(ctx context.Context, in *newsCall) (*pollen.Nothing, error) {
	_, err := waggle.Ask(ctx, f.cfg.Floor, func() bool {
		nowUs := waggle.NowUs()
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
	return &pollen.Nothing{}, err
}
