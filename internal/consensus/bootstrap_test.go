package consensus

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/rpc"
	"rowanshunt/internal/simnet"
)

// ballotRecorder records the ballots of the bootstrap register's prepare rounds.
type ballotRecorder struct {
	rpc.Transport
	seed string

	mu      sync.Mutex
	ballots []Ballot
}

func (b *ballotRecorder) Call(ctx context.Context, addr, kind string, in, out any) error {
	if addr == b.seed && kind == kindBootstrapPrepare {
		b.mu.Lock()
		b.ballots = append(b.ballots, in.(*prepareRequest).Ballot)
		b.mu.Unlock()
	}
	return b.Transport.Call(ctx, addr, kind, in, out)
}

// Each attempt to bootstrap has a ballot of its own, also in a later call: what was
// sent under an earlier one may come late, with another value (design 4.3).
func TestBootstrapBallotsAreNeverReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := simnet.New(1)
		seeds := []string{"n0", "n1", "n2"} // only the first runs: no quorum
		transport := &ballotRecorder{Transport: network.TransportOf("n0"), seed: "n1"}
		register := startRegister(t, ctx, network, transport, gossip.Peer{Name: "n0", Addr: "n0", Disk: "d0"}, t.TempDir(), seeds)
		for range 2 {
			call, end := context.WithTimeout(ctx, 2*time.Second)
			register.maintenance.bootstrap.run(call)
			end()
		}
		cancel()
		synctest.Wait()
		if len(transport.ballots) < 4 {
			t.Fatalf("too few attempts: %v", transport.ballots)
		}
		for i, ballot := range transport.ballots[1:] {
			if !transport.ballots[i].Less(ballot) {
				t.Fatalf("a ballot was used again: %v", transport.ballots)
			}
		}
	})
}

// Where too few seeds have their votes, the log tells the operator what to do (design 4.3).
func TestBootstrapWithoutMajorityNamesTheRemedy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := simnet.New(1)
		register := startRegister(t, ctx, network, network.TransportOf("n0"), gossip.Peer{Name: "n0", Addr: "n0", Disk: "d0"}, t.TempDir(), []string{"n0", "n1", "n2"})
		var lines bytes.Buffer
		register.maintenance.bootstrap.log = logging.NewLog(&lines, "warn")
		call, end := context.WithTimeout(ctx, 2*time.Second)
		register.maintenance.bootstrap.run(call)
		end()
		cancel()
		synctest.Wait()
		for _, want := range []string{"bootstrap_no_majority", "empty all disks", "bootstrap = true"} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("the log does not say %q: %s", want, lines.String())
			}
		}
	})
}
