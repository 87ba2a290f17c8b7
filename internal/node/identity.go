package node

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"rowanshunt/internal/batch"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/gossip"
	"rowanshunt/internal/logging"
	"rowanshunt/internal/settings"
	"rowanshunt/internal/wal"
)

// legacyIdentityFile held a member's identity before the log did. Disks of the first
// version have it under this name.
const legacyIdentityFile = "incarnation"

// identify makes this node's own peer: of the options, the identity of its disk, and this
// process.
func (n *Node) identify(opts *settings.Options) error {
	n.self = gossip.Peer{
		Name:      opts.Node,
		Addr:      opts.PeerAddr(),
		Ctl:       opts.Listen.Ctl,
		Az:        opts.Az,
		Role:      n.role,
		CPUMillis: int64(opts.Caps.CPUFrac * max(opts.Caps.NCPU, 1) * 1000),
	}
	durableDir, empty := "", true // empty: nothing on the disk, or no disk
	// An edge node with a disk that serves "ctl" may be a core member (settings.Options.Serves).
	if opts.DataDir != "" && (n.role == settings.RoleStore || opts.Has("ctl")) {
		if err := n.openBootstrapLog(opts); err != nil {
			return err
		}
		id, fresh, err := recoverDisk(opts.DataDir, n.role, n.env.Log)
		if err != nil {
			return err
		}
		n.self.Disk, empty = id, fresh
		if n.role == settings.RoleEdge {
			n.diskDir = opts.DataDir
		}
	}
	if n.self.Disk != "" {
		durableDir = opts.DataDir
	}
	n.self.Bootstrap = opts.Bootstrap && empty || n.bootstrapLog.InProgress()
	process, err := gossip.NewProcess(durableDir)
	if err != nil {
		return err
	}
	if process.StartCountError != nil {
		n.env.Log.Warn("start_count_not_saved", "err", process.StartCountError, "remedy", "look at the disk; peers are asked instead")
	}
	n.self.SetProcess(process)
	return nil
}

// openBootstrapLog opens what an edge node's disk has of the bootstrap. It comes before the
// disk gets its identity, so that a first process that is killed in between is recognized
// (design 4.3).
func (n *Node) openBootstrapLog(opts *settings.Options) error {
	if n.role != settings.RoleEdge {
		return nil
	}
	_, err := os.Stat(filepath.Join(opts.DataDir, consensus.LogName))
	firstStart := opts.Bootstrap && errors.Is(err, os.ErrNotExist)
	n.bootstrapLog, err = consensus.OpenBootstrapLog(opts.DataDir, firstStart, opts.SeedAddrs(), n.env.Log)
	return err
}

// recoverDisk recovers the log that holds the member's votes (a torn tail is cut, a lost
// file quarantined, one of the first version converted) and reads the identity of this
// disk out of it, so that neither is ever there without the other (design 10.2). fresh:
// the disk was never used.
func recoverDisk(dir, role string, log *logging.Log) (id string, fresh bool, err error) {
	name := consensus.LogName
	if role == settings.RoleStore {
		name = batch.LogName
	}
	legacyPath := filepath.Join(dir, legacyIdentityFile)
	legacy, err := os.ReadFile(legacyPath)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", false, errors.Wrap(err, "read identity")
	}
	found, err := wal.Recover(dir, name, string(legacy))
	if err != nil {
		return "", false, errors.Wrap(err, "recover "+name)
	}
	if damage := found.Damage; damage != nil && damage.Lost {
		log.Warn("disk_lost", "wal", name, "at", damage.Offset, "bytes", damage.CutBytes, "why", damage.Reason, "aside", found.QuarantinePath,
			"remedy", "none needed: this member joins anew; look at the disk")
	} else if damage != nil {
		log.Warn("wal_tail_cut", "wal", name, "at", damage.Offset, "bytes", damage.CutBytes, "why", damage.Reason)
	}
	// From here the identity is the log's: an earlier version that is put back
	// must not vote under the old one with a log that it can't read.
	if err := os.Remove(legacyPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", false, errors.Wrap(err, "remove the old identity")
	}
	return found.ID, found.Fresh, nil
}
