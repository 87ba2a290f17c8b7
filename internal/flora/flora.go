package flora

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"rowanshunt/internal/pollen"
	"rowanshunt/internal/swarm"
	"rowanshunt/internal/tending"
	"rowanshunt/internal/waggle"
	"rowanshunt/internal/wax"
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

// Config is what a flora is made of.
type Config struct {
	Floor    *waggle.Floor
	Desk     *pollen.Desk
	Mesh     pollen.Mesh
	Swarm    *swarm.Swarm
	Log      *wax.Log
	Self     swarm.Partner
	HbUs     int64
	Services func() []string // of the blueprint in force
	// Pressures gives what this node heard of workers itself, or with all that
	// others told it; Hear takes what a partner heard, "" the zone's home.
	Pressures func(all bool) []Pressure
	Hear      func(from string, ps []Pressure)
	OnNews    func(Worker)
	Dir       string // folder for what outlives a restart, "" without a disk
	WallUs    func() int64
}

type entry struct {
	Worker
	seenUs int64 // steady clock at its last beat
	buried int64
}

// Flora owns the node's table of workers. All but Look runs on the floor.
type Flora struct {
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
	diary   *diary

	renewedUs int64
	asks      int
}

// nextRenew tells whether a renewal is due; a node that has no answer yet asks
// more often.
func nextRenew(lastUs *int64) bool {
	nowUs := waggle.NowUs()
	if nowUs-*lastUs < renewUs {
		return false
	}
	*lastUs = nowUs
	return true
}

type subscriber struct {
	addr    string
	untilUs int64
}

type newsCall struct {
	Home    bool // pass it on to the zone's subscribers
	Workers []Worker
}

type subCall struct {
	From      string
	Addr      string
	Svcs      []string
	Digests   []uint64
	Pressures []Pressure
}

type age struct {
	ID    string
	AgeUs int64
}

type subAnswer struct {
	Workers   []Worker // of the services whose digest differs
	Same      []string // services whose digest is the same: their workers were
	FreshUs   int64    // all heard within this time, but for those in Ages
	Ages      []age    // below 0: not heard of since a restart
	Pressures []Pressure
}

// New joins the news path.
func New(ctx context.Context, cfg Config) (*Flora, error) {
	f := &Flora{cfg: cfg, ctx: ctx, workers: map[string]*entry{}, subs: map[string]*subscriber{}, pending: map[string]bool{}, startUs: waggle.NowUs()}
	f.dir.Store(&Directory{BySvc: map[string][]*Worker{}, ByID: map[string]*Worker{}})
	if cfg.Dir != "" {
		d, old, err := openDiary(cfg.Dir, cfg.WallUs, cfg.Log)
		if err != nil {
			return nil, err
		}
		f.diary = d
		context.AfterFunc(ctx, d.cell.Close)
		for _, w := range old {
			f.take(w, f.startUs)
		}
		cfg.Floor.Every(diaryUs, f.note)
	}
	pollen.On(cfg.Desk, "flora.news", f.onNews)
	pollen.On(cfg.Desk, "flora.sub", f.onSub)
	cfg.Floor.Every(soonUs, func() {
		early := waggle.NowUs()-f.startUs < earlyUs
		if early || !f.synced.Load() || nextRenew(&f.renewedUs) {
			f.renew()
		}
	})
	cfg.Floor.Every(100_000, f.publish)
	cfg.Floor.Every(forwardUs, f.forward)
	return f, nil
}

// note writes the workers of the directory down.
func (f *Flora) note() {
	nowUs := waggle.NowUs()
	var ws []Worker
	for _, e := range f.workers {
		if !e.Old && f.usable(e) {
			w := e.Worker
			w.AgeUs = nowUs - e.seenUs
			ws = append(ws, w)
		}
	}
	f.diary.write(ws)
}

// Look gives the newest directory; any goroutine may call it.
func (f *Flora) Look() *Directory { return f.dir.Load() }

// Known lists all registered workers, in use or not; it asks the floor.
func (f *Flora) Known() []Worker {
	ctx, cancel := context.WithTimeout(f.ctx, time.Second)
	defer cancel()
	out, err := waggle.Ask(ctx, f.cfg.Floor, func() []Worker {
		var ws []Worker
		for _, e := range f.workers {
			if !e.Gone && f.syncUs-e.seenUs < f.TenureUs() {
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
func (f *Flora) Synced() bool { return f.synced.Load() }

// freshUs is the age up to which a worker's beats are as usual: only what is
// older is told one by one, so that what a node hears follows the workers that
// are late and not all of them (design 5.2).
func (f *Flora) freshUs() int64 { return f.cfg.HbUs * 3 / 2 }

// TenureUs is how long a silent worker keeps its place.
func (f *Flora) TenureUs() int64 { return 3*f.cfg.HbUs + 700_000 }

// take merges one worker, true if that is news (design 5.1): gone is for good,
// else the higher seq wins.
func (f *Flora) take(w Worker, nowUs int64) bool {
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
		f.cfg.Log.Debug("worker_found", "worker", w.ID, "svc", w.Svc, "addr", w.Addr, "phase", w.Phase)
		return true
	}
	e.seenUs = max(e.seenUs, seenUs)
	if e.Gone {
		return false
	}
	if w.Gone {
		e.Gone, e.buried = true, nowUs
		return true
	}
	if w.Seq < e.Seq || w.Seq == e.Seq && !e.Old {
		return false
	}
	before := e.state()
	e.Worker = w
	return e.state() != before
}

// homes lists the home node of a service in each zone: one of the zone's
// strong nodes if it has any (design 5.2).
func (f *Flora) homes(svc string, v *swarm.View) map[string]string {
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
		out[az] = tending.Holder("home/"+svc, names)
	}
	return out
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

func (f *Flora) digest(svc string) uint64 {
	var sum uint64
	for _, e := range f.workers {
		if e.Svc == svc {
			sum += e.state() // order does not matter
		}
	}
	return sum
}

func (f *Flora) onSub(ctx context.Context, in *subCall) (*subAnswer, error) {
	if len(in.Svcs) != len(in.Digests) || len(in.Svcs) > 4096 {
		return nil, wax.New(wax.Invalid, "svcs", "and digests do not match", "run the same version on all nodes")
	}
	if f.cfg.Hear != nil {
		f.cfg.Hear(in.From, in.Pressures)
	}
	return waggle.Ask(ctx, f.cfg.Floor, func() *subAnswer {
		nowUs := waggle.NowUs()
		f.subs[in.From] = &subscriber{addr: in.Addr, untilUs: nowUs + subscribedUs}
		out := &subAnswer{FreshUs: f.freshUs()}
		if f.cfg.Pressures != nil {
			out.Pressures = f.cfg.Pressures(true)
		}
		for i, svc := range in.Svcs {
			same := f.digest(svc) == in.Digests[i]
			if same {
				out.Same = append(out.Same, svc)
			}
			for _, e := range f.workers {
				if e.Svc != svc {
					continue
				}
				ageUs := nowUs - e.seenUs
				if same {
					switch {
					case e.Gone:
					case e.Old:
						out.Ages = append(out.Ages, age{ID: e.ID, AgeUs: -1})
					case ageUs > out.FreshUs:
						out.Ages = append(out.Ages, age{ID: e.ID, AgeUs: ageUs})
					}
					continue
				}
				w := e.Worker
				w.AgeUs = ageUs
				out.Workers = append(out.Workers, w)
			}
		}
		return out
	})
}

// renew subscribes at the zone's homes; a home itself asks the home of the
// next zone, so that zones cannot drift apart.
func (f *Flora) renew() {
	nowUs := waggle.NowUs()
	for name, s := range f.subs {
		if nowUs > s.untilUs {
			delete(f.subs, name)
		}
	}
	v := f.cfg.Swarm.Look()
	bySource := map[string][]string{}
	for _, svc := range f.cfg.Services() {
		homes := f.homes(svc, v)
		source := homes[f.cfg.Self.Az]
		if source == f.cfg.Self.Name || source == "" {
			source = next(homes, f.cfg.Self.Az)
		}
		if source == "" || source == f.cfg.Self.Name {
			// Alone: what comes in here is all there is.
			f.syncUs = nowUs
			if nowUs-f.startUs > 1_500_000 {
				f.synced.Store(true)
			}
			continue
		}
		bySource[source] = append(bySource[source], svc)
	}
	if nowUs-f.startUs < oldUs && f.cfg.Dir == "" {
		// Those with a disk may have a diary: one of them is asked too while
		// this node knows little (design 5.5).
		disks := v.Names(func(s *swarm.Sighting) bool {
			return s.Alive && s.Disk != "" && s.Role == f.cfg.Self.Role && bySource[s.Name] == nil
		})
		if len(disks) > 0 {
			bySource[disks[f.asks%len(disks)]] = f.cfg.Services()
			f.asks++
		}
	}
	for source, svcs := range bySource {
		p := v.Get(source)
		call := &subCall{From: f.cfg.Self.Name, Addr: f.cfg.Self.Addr, Svcs: svcs}
		for _, s := range svcs {
			call.Digests = append(call.Digests, f.digest(s))
		}
		if f.cfg.Pressures != nil {
			call.Pressures = f.cfg.Pressures(false)
		}
		go func() {
			ctx, cancel := context.WithTimeout(f.ctx, 450*time.Millisecond)
			defer cancel()
			out := &subAnswer{}
			if err := f.cfg.Mesh.Call(ctx, p.Addr, "flora.sub", call, out); err != nil {
				return
			}
			if f.cfg.Hear != nil {
				f.cfg.Hear("", out.Pressures)
			}
			_ = f.cfg.Floor.Do(ctx, func() { f.refresh(out) })
		}()
	}
}

// next is the home of the zone after az, in the zones' order.
func next(homes map[string]string, az string) string {
	var azs []string
	for a := range homes {
		if a != az {
			azs = append(azs, a)
		}
	}
	if len(azs) == 0 {
		return ""
	}
	sort.Strings(azs)
	at := sort.SearchStrings(azs, az)
	return homes[azs[at%len(azs)]]
}

func (f *Flora) refresh(out *subAnswer) {
	nowUs := waggle.NowUs()
	f.syncUs = nowUs
	f.synced.Store(true)
	late := make(map[string]int64, len(out.Ages))
	for _, a := range out.Ages {
		late[a.ID] = a.AgeUs
	}
	same := map[string]bool{}
	for _, svc := range out.Same {
		same[svc] = true
	}
	for id, e := range f.workers {
		if e.Gone || !same[e.Svc] {
			continue
		}
		ageUs, told := late[id]
		if !told {
			ageUs = out.FreshUs // it was heard since, which is all that is known
		}
		if ageUs >= 0 {
			e.Old = false // its home heard it beat
			e.seenUs = max(e.seenUs, nowUs-ageUs)
		}
	}
	news := false
	for _, w := range out.Workers {
		news = f.take(w, nowUs) || news
	}
	if news {
		f.publish()
	}
}

// publish renews the directory if it changed. A silent worker's tenure ends
// only while news comes in: a node that is cut off keeps what it had.
func (f *Flora) publish() {
	nowUs := waggle.NowUs()
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
	if f.diary != nil {
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

func (f *Flora) usable(e *entry) bool {
	return e.Up() && f.syncUs-e.seenUs < f.TenureUs()
}

// Trace tells what this node knows of a worker, nil if nothing, and whether it
// is in the directory.
func (f *Flora) Trace(ctx context.Context, id string) (w *Worker, inUse bool) {
	got, err := waggle.Ask(ctx, f.cfg.Floor, func() *Worker {
		e := f.workers[id]
		if e == nil {
			return nil
		}
		c := e.Worker
		c.AgeUs = waggle.NowUs() - e.seenUs
		return &c
	})
	if err != nil {
		return nil, false
	}
	return got, f.Look().ByID[id] != nil
}

// HomeOf names the home of a service in this node's zone.
func (f *Flora) HomeOf(svc string) string {
	return f.homes(svc, f.cfg.Swarm.Look())[f.cfg.Self.Az]
}
