package node

import (
	"context"
	"os"
	"strconv"
	"strings"
	"time"

	"rowanshunt/internal/settings"
)

// optionsPoll is how often a node looks whether the options file has changed without a
// signal.
const optionsPoll = 3 * time.Second

// watchOptions reloads the options on a signal or when the file has changed.
func (n *Node) watchOptions(ctx context.Context, path string, reload <-chan os.Signal) {
	last := fileVersion(path)
	ticker := time.NewTicker(optionsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
		case <-ticker.C:
			if now := fileVersion(path); now == last || now == "" {
				continue
			}
		}
		last = fileVersion(path)
		n.Reload(ctx, path)
	}
}

// Reload puts new options in force if they are valid; others leave those in force
// (design 1.2).
func (n *Node) Reload(ctx context.Context, path string) {
	opts, err := settings.Load(path)
	if err == nil {
		err = opts.CheckRole(n.role)
	}
	if err != nil {
		n.env.Log.Warn("options_rejected", "err", err)
		return
	}
	n.opts.Store(opts)
	seeds := opts.SeedAddrs()
	_ = n.Loop.Post(ctx, func() { n.Gossip.SetSeeds(seeds) })
	n.env.Log.Info("options_reloaded", "seeds", strings.Join(opts.Seeds, " "))
}

// fileVersion tells versions of a file apart by time and size, "" where there is none.
func fileVersion(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return info.ModTime().String() + "/" + strconv.FormatInt(info.Size(), 10)
}
