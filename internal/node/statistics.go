package node

import (
	"context"
	"syscall"
	"time"

	"rowanshunt/internal/eventloop"
	"rowanshunt/internal/wal"
)

// statisticsInterval is how often a node logs what its peer calls and its disk cost.
const statisticsInterval = 10 * time.Second

// logPeerCalls logs the calls to and from peers by kind, with the processor time of the
// whole process.
func (n *Node) logPeerCalls(ctx context.Context) {
	eventloop.RunEvery(ctx, statisticsInterval, func() {
		kinds, total := n.env.Counters.Drain()
		n.env.Log.Info("peer_calls", "calls", total.Calls, "bytes", total.Bytes, "cpu_ms_since_start", processorMillis(),
			"peers", len(n.Gossip.Snapshot().Nodes), "kinds", kinds)
	})
}

// processorMillis is the processor time of this process, -1 where it is not known.
func processorMillis() int64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return -1
	}
	return (usage.Utime.Sec+usage.Stime.Sec)*1000 + int64(usage.Utime.Usec+usage.Stime.Usec)/1000
}

// logDiskWrites logs what a store wrote to its log since the last time.
func (sn *StoreNode) logDiskWrites(ctx context.Context) {
	var last wal.Stats
	eventloop.RunEvery(ctx, statisticsInterval, func() {
		now := sn.BatchStore.Written()
		sn.env.Log.Info("wal_writes", "wal", "lots", "syncs", now.Syncs-last.Syncs, "bytes", now.Bytes-last.Bytes, "rewrites", now.Rewrites-last.Rewrites)
		last = now
	})
}
