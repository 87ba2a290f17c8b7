package node

import (
	"slices"

	"rowanshunt/internal/config"
	"rowanshunt/internal/consensus"
)

// AppliedConfiguration is the newest configuration applied here, nil before the first.
// Traffic is served by servedConfiguration.
func (n *Node) AppliedConfiguration() *config.Configuration { return n.configuration.Load() }

// servedConfiguration is the configuration that traffic is served by: the applied one, but
// none until this process has read the register at a majority (design 4.5).
func (n *Node) servedConfiguration() *config.Configuration {
	if !n.initialReadDone.Load() {
		return nil
	}
	return n.configuration.Load()
}

// core is the committed membership of the core, nil before this node knows one.
func (n *Node) core() *consensus.Membership {
	if state := n.Register.Committed(); state != nil {
		return &state.Core
	}
	return nil
}

// services lists the services of the newest configuration.
func (n *Node) services() []string {
	configuration := n.configuration.Load()
	if configuration == nil {
		return nil
	}
	names := make([]string, 0, len(configuration.Services))
	for name := range configuration.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// applyCommitted applies a committed state. It runs on the event loop and
// never replaces a configuration by an older one (design 4.2). Clients are served by an
// applied configuration once the initial read is done (servedConfiguration).
func (n *Node) applyCommitted(state *consensus.State) {
	for _, observe := range n.committedObservers {
		observe(state)
	}
	if state.Version <= n.appliedVersion {
		return
	}
	configuration, err := config.Parse(state.Document)
	if err != nil {
		n.env.Log.Warn("configuration_unreadable", "version", state.Version, "err", err)
		return
	}
	n.appliedVersion = state.Version
	n.appliedUs.Store(n.env.WallUs())
	n.configuration.Store(configuration)
	n.env.Log.Info("configuration_applied", "version", state.Version, "revision", state.Revision, "routes", len(configuration.Routes))
}
