package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/register"
	"rowanshunt/internal/rpc"
)

// Figures of the departure log (design 5.4).
const (
	// departureKeepUs is how long a departure can be asked for.
	departureKeepUs = buryUs
	// departurePage bounds the departures of one answer.
	departurePage = 256
	// departureTimeout bounds one question, so that a silent member leaves time
	// to ask the next one within the bound of design 5.4.
	departureTimeout = 250 * time.Millisecond
)

// departure is one entry of the log: a worker that began to drain or is gone.
type departure struct {
	seq      uint64
	atUs     int64 // steady clock
	workerID string
}

// departureLog lists the workers that left lately, in the order in which this
// node heard of them. Its numbers hold within one life of the node, which the
// epoch names. It lives on the event loop.
type departureLog struct {
	epoch   uint64
	lastSeq uint64
	entries []departure
}

func newDepartureLog() *departureLog { return &departureLog{epoch: rand.Uint64() | 1} }

// add notes a departure, forgets those that are past asking, and gives the
// number of the new one.
func (l *departureLog) add(workerID string, nowUs int64) uint64 {
	expired := 0
	for expired < len(l.entries) && (nowUs-l.entries[expired].atUs > departureKeepUs || len(l.entries)-expired >= maxWorkers) {
		expired++
	}
	l.entries = l.entries[expired:]
	l.lastSeq++
	l.entries = append(l.entries, departure{seq: l.lastSeq, atUs: nowUs, workerID: workerID})
	return l.lastSeq
}

// after lists one page of what follows a number.
func (l *departureLog) after(seq uint64) []departure {
	at := len(l.entries)
	for at > 0 && l.entries[at-1].seq > seq {
		at--
	}
	return l.entries[at:min(len(l.entries), at+departurePage)]
}

// departureCursor is how far a node has read another one's log.
type departureCursor struct {
	Epoch uint64
	Seq   uint64
}

// DecodeMsgpack reads cursors of other versions too.
func (c *departureCursor) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.Fields(d, &c.Epoch, &c.Seq)
}

// departureAnswer is one page of a departure log.
type departureAnswer struct {
	Next    departureCursor
	More    bool
	Workers []Worker
	// CutOff: the member that answers hears no majority of the core itself.
	CutOff bool
}

// DecodeMsgpack reads answers of other versions too.
func (a *departureAnswer) DecodeMsgpack(d *msgpack.Decoder) error {
	return rpc.Fields(d, &a.Next, &a.More, &a.Workers, &a.CutOff)
}

// onDepartures answers what the asker has not read yet. A cursor of another
// life starts from the first departure that is kept.
func (f *Discovery) onDepartures(ctx context.Context, in *departureCursor) (*departureAnswer, error) {
	return eventloop.Ask(ctx, f.cfg.Loop, func() *departureAnswer {
		nowUs := eventloop.NowUs()
		log := f.departures
		read := in.Seq
		if in.Epoch != log.epoch {
			read = 0
		}
		out := &departureAnswer{Next: departureCursor{Epoch: log.epoch, Seq: read}, CutOff: !f.hearsCore(nowUs)}
		for _, d := range log.after(read) {
			out.Next.Seq = d.seq
			if e := f.workers[d.workerID]; e != nil && !e.Up() && e.departure == d.seq {
				w := e.Worker
				w.AgeUs = nowUs - e.seenUs
				out.Workers = append(out.Workers, w)
			}
		}
		out.More = out.Next.Seq < log.lastSeq
		return out
	})
}

// departureReader keeps, for each core member, how far its log was read.
type departureReader struct {
	cursors map[string]departureCursor // by member name; event loop
	turn    int
	busy    atomic.Bool // a question round is under way
}

// coreMembers are the members of the core's membership, nil if it isn't known.
func (f *Discovery) coreMembers() []register.Member {
	r := f.coreMembership()
	if r == nil {
		return nil
	}
	return r.All()
}

func (f *Discovery) coreMembership() *register.Membership {
	if f.cfg.Core == nil {
		return nil
	}
	return f.cfg.Core()
}

// readDepartures keeps this node's list of leaving workers up to date by way of
// the core (design 5.4): a core member asks all others; a node that answers for
// others, or whose own source is silent, asks one of them. It runs on the event
// loop.
func (f *Discovery) readDepartures(serves, sourceSilent bool) {
	var others, silent []register.Member
	isMember := false
	v := f.cfg.Gossip.Look()
	for _, m := range f.coreMembers() {
		switch {
		case m.Name == f.cfg.Self.Name:
			isMember = true
		case !maybeAlive(v, m.Name):
		case f.isSilent(m.Name):
			silent = append(silent, m)
		default:
			others = append(others, m)
		}
	}
	f.reader.turn++
	rotate(others, f.reader.turn)
	others = append(others, silent...)
	switch {
	case len(others) == 0:
	case isMember:
		for _, m := range others {
			go func() { _ = f.readDeparturesOf(m) }()
		}
	case serves || sourceSilent:
		f.readDeparturesOfOne(others)
	}
}

// rotate brings another member to the front with each turn.
func rotate(members []register.Member, turn int) {
	if len(members) > 1 {
		at := turn % len(members)
		copy(members, append(slices.Clone(members[at:]), members[:at]...))
	}
}

// maybeAlive tells whether a core member is alive in view, or may be although
// the view has no room for it.
func maybeAlive(v *gossip.View, name string) bool {
	return v.Alive(name) || v.Partial() && v.Get(name) == nil
}

// addrOf is a core member's address: as membership has it, or else the membership.
func (f *Discovery) addrOf(m register.Member) string {
	if p := f.cfg.Gossip.Look().Get(m.Name); p != nil {
		return p.Addr
	}
	return m.Addr
}

// readDeparturesOfOne asks the members in their order until one answers that hears a
// majority of the core.
func (f *Discovery) readDeparturesOfOne(members []register.Member) {
	if !f.reader.busy.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.reader.busy.Store(false)
		for _, m := range members {
			if f.readDeparturesOf(m) == nil {
				return
			}
			_ = f.cfg.Loop.Do(f.ctx, func() { f.silentSources[m.Name] = eventloop.NowUs() })
		}
	}()
}

// readDeparturesOf reads what is new in one member's log.
func (f *Discovery) readDeparturesOf(member register.Member) error {
	for {
		cursor, err := eventloop.Ask(f.ctx, f.cfg.Loop, func() departureCursor { return f.reader.cursors[member.Name] })
		if err != nil {
			return err
		}
		page := &departureAnswer{}
		startUs := eventloop.NowUs()
		callCtx, cancel := context.WithTimeout(f.ctx, departureTimeout)
		err = f.cfg.Transport.Call(callCtx, f.addrOf(member), "flora.departures", &cursor, page)
		cancel()
		if err != nil {
			return err
		}
		err = f.cfg.Loop.Do(f.ctx, func() {
			f.noteDepartureLog(member.Name, page, startUs)
			f.takeDepartures(member.Name, page)
		})
		switch {
		case err != nil:
			return err
		case page.More:
		case page.CutOff:
			return errCutOff
		default:
			return nil
		}
	}
}

// takeDepartures merges one page of a member's log.
func (f *Discovery) takeDepartures(member string, page *departureAnswer) {
	f.reader.cursors[member] = page.Next
	nowUs := eventloop.NowUs()
	news := false
	for _, w := range page.Workers {
		news = f.take(w, nowUs) || news
	}
	if news {
		f.publish()
	}
}
