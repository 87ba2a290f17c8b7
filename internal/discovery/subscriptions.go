package discovery

import (
	"context"
	"slices"
	"sort"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/gossip"
)

// nextRenew tells whether a renewal is due; a node that has no answer yet asks
// more often.
func nextRenew(lastUs *int64) bool {
	nowUs := eventloop.NowUs()
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

type subCall struct {
	From    string
	Addr    string
	Svcs    []string
	Digests []uint64
	Loads   []Load
}

type age struct {
	ID    string
	AgeUs int64
}

type subAnswer struct {
	Workers []Worker // of the services whose digest differs
	Same    []string // services whose digest is the same: their workers were
	FreshUs int64    // all heard within this time, but for those in Ages
	Ages    []age    // below 0: not heard of since a restart
	Loads   []Load
}

// cutOffMark stands among the services of an answer, as no service is called so, when
// the home does not hear the core: what it has not heard is no sign that a worker is
// gone (design 5.3). Versions before take no answer with one more field.
const cutOffMark = ""

func (a *subAnswer) cutOff() bool { return slices.Contains(a.Same, cutOffMark) }

func (f *Discovery) digest(svc string) uint64 {
	var sum uint64
	for _, e := range f.workers {
		if e.Svc == svc {
			sum += e.state() // order does not matter
		}
	}
	return sum
}

func (f *Discovery) onSub(ctx context.Context, in *subCall) (*subAnswer, error) {
	if len(in.Svcs) != len(in.Digests) || len(in.Svcs) > 4096 {
		return nil, fault.New(fault.Invalid, "svcs", "and digests do not match", "run the same version on all nodes")
	}
	if f.cfg.Hear != nil {
		f.cfg.Hear(in.From, in.Loads)
	}
	return eventloop.Ask(ctx, f.cfg.Loop, func() *subAnswer {
		nowUs := eventloop.NowUs()
		f.subs[in.From] = &subscriber{addr: in.Addr, untilUs: nowUs + subscribedUs}
		out := &subAnswer{FreshUs: f.freshUs()}
		if !f.hearsCore(nowUs) {
			out.Same = append(out.Same, cutOffMark)
		}
		if f.cfg.Loads != nil {
			out.Loads = f.cfg.Loads(true)
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
func (f *Discovery) renew() {
	nowUs := eventloop.NowUs()
	for name, s := range f.subs {
		if nowUs > s.untilUs {
			delete(f.subs, name)
		}
	}
	v := f.cfg.Gossip.Look()
	bySource := map[string][]string{}
	serves := len(f.subs) > 0
	for _, svc := range f.cfg.Services() {
		homes := f.homes(svc, v)
		source := homes[f.cfg.Self.Az]
		if source == f.cfg.Self.Name {
			serves = true
		}
		if source == f.cfg.Self.Name || source == "" || f.isSilent(source) {
			// A silent home is asked again after a while; meanwhile the next
			// zone's knows as much.
			if other := f.next(homes); other != "" || source == f.cfg.Self.Name {
				source = other
			}
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
		// Those with a disk may have a journal: one of them is asked too while
		// this node knows little (design 5.5).
		disks := v.Names(func(s *gossip.NodeState) bool {
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
		if f.cfg.Loads != nil {
			call.Loads = f.cfg.Loads(false)
		}
		go func() {
			ctx, cancel := context.WithTimeout(f.ctx, 450*time.Millisecond)
			defer cancel()
			out := &subAnswer{}
			if err := f.cfg.Transport.Call(ctx, p.Addr, "flora.sub", call, out); err != nil {
				_ = f.cfg.Loop.Do(f.ctx, func() { f.sourceFailed(source) })
				return
			}
			if f.cfg.Hear != nil {
				f.cfg.Hear("", out.Loads)
			}
			_ = f.cfg.Loop.Do(ctx, func() {
				f.refresh(out)
				if out.cutOff() {
					f.sourceFailed(source)
				}
			})
		}()
	}
	f.readDepartures(serves, false)
}

// silentSourceUs is how long a source that did not answer is left aside.
const silentSourceUs = 2_000_000

func (f *Discovery) isSilent(source string) bool {
	atUs, failed := f.silentSources[source]
	return failed && eventloop.NowUs()-atUs < silentSourceUs
}

// sourceFailed notes a source that did not answer, or does not hear the core, and
// asks the core at once for what it would have told of workers that leave (design 5.4).
func (f *Discovery) sourceFailed(source string) {
	for name := range f.silentSources {
		if !f.isSilent(name) {
			delete(f.silentSources, name)
		}
	}
	f.silentSources[source] = eventloop.NowUs()
	f.readDepartures(false, true)
}

// next is the home of the next zone in the zones' order, a silent one only if all
// are.
func (f *Discovery) next(homes map[string]string) string {
	var azs []string
	for az := range homes {
		if az != f.cfg.Self.Az {
			azs = append(azs, az)
		}
	}
	if len(azs) == 0 {
		return ""
	}
	sort.Strings(azs)
	at := sort.SearchStrings(azs, f.cfg.Self.Az)
	for i := range azs {
		if name := homes[azs[(at+i)%len(azs)]]; !f.isSilent(name) {
			return name
		}
	}
	return homes[azs[at%len(azs)]]
}

func (f *Discovery) refresh(out *subAnswer) {
	nowUs := eventloop.NowUs()
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
