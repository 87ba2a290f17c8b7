package consensus

import (
	"reflect"
	"testing"

	"rowanshunt/internal/goldentest"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/wal"
)

// goldenState has all fields set; the numbers and texts in it are used nowhere
// else.
func goldenState() *State {
	return &State{
		Revision: 101, Version: 102, Document: []byte("document"),
		Core: Membership{
			Version:  103,
			Current:  []Member{{ID: "edge-1#d1", Name: "edge-1", Addr: "10.0.0.1:7000", Az: "zone-1"}},
			Previous: []Member{{ID: "edge-2#d2", Name: "edge-2", Addr: "10.0.0.2:7000", Az: "zone-2"}},
		},
		Stores: Membership{
			Version:  104,
			Current:  []Member{{ID: "store-3#d3", Name: "store-3", Addr: "10.0.0.3:7000", Az: "zone-3"}},
			Previous: []Member{{ID: "store-4#d4", Name: "store-4", Addr: "10.0.0.4:7000", Az: "zone-4"}},
		},
		Retiring:   []string{"store-5#d5", "store-6#d6"},
		Attributes: map[string][]byte{"aggregate": []byte("extra")},
	}
}

func TestGoldenMessages(t *testing.T) {
	low, high := Ballot{Number: 7, Proposer: "edge-7/life"}, Ballot{Number: 8, Proposer: "edge-8/life"}
	goldentest.Messages(t, rpc.Unmarshal, []goldentest.Message{
		{Name: "nest.prepare.call", Value: &prepareRequest{Member: "edge-1#d1", Ballot: low, ReadOnly: true}},
		{Name: "nest.prepare.answer", Value: &prepareResponse{OK: true, Promised: high, Accepted: low, State: goldenState()}},
		{Name: "nest.accept.call", Value: &acceptRequest{Member: "edge-9#d9", Ballot: low, State: goldenState()}},
		{Name: "nest.accept.answer", Value: &acceptResponse{OK: true, Promised: high}},
		{Name: "nest.learn.call", Value: goldenState()},
		{Name: "nest.get.call", Value: &rpc.Empty{}, Partial: true},
		{Name: "nest.contact.call", Value: &contactRequest{Members: []Member{{ID: "edge-1#d1", Name: "edge-1", Addr: "10.0.0.1:7000", Az: "zone-1"}}, SilentFor: 9}},
		{Name: "nest.contact.answer", Value: &contactResponse{Lost: []string{"edge-1#d1", "edge-2#d2"}}},
		{Name: "record.member", Value: &Member{ID: "edge-1#d1", Name: "edge-1", Addr: "10.0.0.1:7000", Az: "zone-1"}},
		{Name: "record.vote", Value: &vote{Promised: high, Accepted: low, State: goldenState()}},
		{Name: "extra.orders", Value: &RequestLog{
			Floor:    21,
			Accepted: []Accepted{{Version: 22, Digest: Digest{Hi: 23, Lo: 24}}},
			Rejected: []Rejected{{Version: 25, Base: 26, Digest: Digest{Hi: 27, Lo: 28}}},
		}},
		{Name: "extra.ended", Value: &completedRequest{ID: Digest{Hi: 31, Lo: 32}, Refused: true, Kind: 3}},
	})
}

func TestGoldenNames(t *testing.T) {
	goldentest.Kinds(t, "nest.", "nest.prepare", "nest.accept", "nest.found.prepare", "nest.found.accept", "nest.learn", "nest.get", "nest.contact")
	goldentest.Kinds(t, "register.", "register.cell")
	goldentest.Kinds(t, "orders/", "orders/config", "orders/quotas", "orders/ended", "orders/retire")
}

// A member without a zone is one of an earlier version.
func TestGoldenEarlierMember(t *testing.T) {
	want := Member{ID: "edge-1#d1", Name: "edge-1", Addr: "10.0.0.1:7000"}
	raw := goldentest.Shorter(t, goldentest.Read(t, "record.member.msgpack"), 1)
	var got Member
	if err := rpc.Unmarshal(raw, &got); err != nil || got != want {
		t.Errorf("read as %+v, want %+v (%v)", got, want, err)
	}
}

// The log: a promise, an accepted state, and a higher promise alone.
func TestGoldenLog(t *testing.T) {
	accepted, promised := Ballot{Number: 12, Proposer: "edge-2/life"}, Ballot{Number: 13, Proposer: "edge-3/life"}
	t.Run("write", func(t *testing.T) {
		dir := t.TempDir()
		goldentest.NewLog(t, dir, LogName)
		a, err := OpenAcceptor("edge-1#d1", dir, logging.Quiet())
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range []struct {
			vote      vote
			withState bool
		}{
			{vote{Promised: Ballot{Number: 11, Proposer: "edge-1/life"}}, false},
			{vote{Promised: accepted, Accepted: accepted, State: goldenState()}, true},
			{vote{Promised: promised, Accepted: accepted, State: goldenState()}, false},
		} {
			if err := a.store.save(w.vote, w.withState); err != nil {
				t.Fatal(err)
			}
		}
		a.Close()
		goldentest.CompareLog(t, dir, LogName)
	})
	t.Run("read", func(t *testing.T) {
		dir := t.TempDir()
		goldentest.CopyTo(t, dir, LogName)
		if found, err := wal.Recover(dir, LogName, ""); err != nil || found.Damage != nil || found.Fresh {
			t.Fatalf("recovered as %+v (%v)", found, err)
		}
		a, err := OpenAcceptor("edge-1#d1", dir, logging.Quiet())
		if err != nil {
			t.Fatal(err)
		}
		defer a.Close()
		want := &vote{Promised: promised, Accepted: accepted, State: goldenState()}
		if got := a.published.Load(); !reflect.DeepEqual(got, want) {
			t.Errorf("read as %+v, want %+v", got, want)
		}
	})
}

// The log of a node's part in the bootstrap: it begins, votes and ends.
func TestGoldenBootstrapLog(t *testing.T) {
	seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000"}
	accepted := Ballot{Number: 12, Proposer: "edge-2/life"}
	t.Run("write", func(t *testing.T) {
		dir := t.TempDir()
		goldentest.NewLog(t, dir, BootstrapLogName)
		b, err := createBootstrapLog(dir, seeds)
		if err != nil {
			t.Fatal(err)
		}
		if err := b.save(vote{Promised: accepted, Accepted: accepted, State: goldenState()}, true); err != nil {
			t.Fatal(err)
		}
		if err := b.end(); err != nil {
			t.Fatal(err)
		}
		b.log.Close()
		goldentest.CompareLog(t, dir, BootstrapLogName)
	})
	t.Run("read", func(t *testing.T) {
		dir := t.TempDir()
		goldentest.CopyTo(t, dir, BootstrapLogName)
		b, err := OpenBootstrapLog(dir, false, nil, logging.Quiet())
		if err != nil {
			t.Fatal(err)
		}
		defer b.log.Close()
		want := bootstrapRecord{Seeds: seeds, Promised: accepted, Accepted: accepted, State: goldenState(), Ended: true}
		if !reflect.DeepEqual(b.record, want) || b.InProgress() {
			t.Errorf("read as %+v, want %+v", b.record, want)
		}
	})
}
