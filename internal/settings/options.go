// Package settings reads and checks the settings that a process is started with (design 1.2).
package settings

import (
	"net"
	"strconv"
	"strings"
	"time"
)

// Options are the settings of one process, read from a TOML file. A field that is missing or 0
// has its default. Load and Parse return them checked; they must not be modified then.
//
// Fields marked as informative are accepted because deploy files hold them; no code reads them.
type Options struct {
	// Node is the name of this node, unique in the system. Required.
	Node string `toml:"node"`
	// Role is informative: the command line names the role.
	Role string `toml:"role"`
	// Sku is the type of the machine. Informative.
	Sku string `toml:"sku"`
	// Serves lists what the node serves, such as "edge" and "ctl"; case does not matter. An
	// edge node with a disk that serves "ctl" may be a member of the register.
	Serves []string `toml:"serves"`
	// IPAddr is the address of this machine, on which its peers reach it. Required.
	IPAddr string `toml:"ipaddr"`
	// Az is the zone of this machine. Required.
	Az string `toml:"az"`
	// Region is informative.
	Region string `toml:"region"`
	// PortRange holds the first and the last port that the node may listen on. The first one
	// carries the peer protocol. Required.
	PortRange []int `toml:"port_range"`
	// Seeds are ctl addresses (host:port) of nodes to start from, this one included or not.
	// At least one is required. Read again while running.
	Seeds []string `toml:"seeds"`
	// Bootstrap is true only at the very first start of the whole system. Default false.
	Bootstrap bool `toml:"bootstrap"`
	// Quorum is informative.
	Quorum bool `toml:"quorum"`
	// DataDir is a folder on the machine's disk. A store requires it; an edge node without
	// one has no vote on the register. Default none.
	DataDir string `toml:"datadir"`
	// HbMs is the interval at which workers send heartbeats, in milliseconds. Default 1200.
	HbMs int64 `toml:"hb_ms"`
	// Azs is informative.
	Azs map[string]string `toml:"azs"`
	// Sink is the http or https URL to which CloudEvents are posted. Default none: no events
	// are emitted.
	Sink string `toml:"events_sink"`

	Listen Listen `toml:"listen"`
	Caps   Caps   `toml:"caps"`
	Ft     Ft     `toml:"ft"`
	Bounds Bounds `toml:"bounds"`
}

// Listen holds the addresses, host:port, on which a node serves. An edge node requires all of
// them, a store none.
type Listen struct {
	HTTP   string `toml:"http"`   // requests of clients
	Readyz string `toml:"readyz"` // readiness checks of the platform
	Ctl    string `toml:"ctl"`    // calls of workers and operators
}

// Caps are the resources of the machine, from which the limits of a node follow (design 11.2).
type Caps struct {
	// CPUFrac is the usable fraction of each core. Default 1.
	CPUFrac float64 `toml:"cpu_frac"`
	// NCPU is the number of cores. Default 1.
	NCPU float64 `toml:"ncpu"`
	// RAMMb is the memory in MiB. Default 256; an edge node needs 32, a store 64.
	RAMMb int64 `toml:"ram_mb"`
	// NoFile is the number of file descriptors. Default 1024, and 256 are needed.
	NoFile int64 `toml:"nofile"`
	// NetMbps is the bandwidth in Mbit/s. Informative.
	NetMbps float64 `toml:"net_mbps"`
	// DiskMb is the size of the disk in MiB. A store needs 32. Default 0: unknown.
	DiskMb int64 `toml:"disk_mb"`
}

// Ft is the fault tolerance that the system must have.
type Ft struct {
	// Nodes is the number of machines that may be lost at one time, at most MaxFailures.
	// Default 0.
	Nodes int `toml:"nodes"`
	// Azs and Regions are the zones and regions that may be lost at one time. Informative,
	// with a warning: memberships are not spread by zone. Default 0.
	Azs     int `toml:"azs"`
	Regions int `toml:"regions"`
}

// Bounds are the times within which the system must do things. The program is built to keep
// the defaults and reads only SyncS, GraceS and PollS; the others are informative.
type Bounds struct {
	// ContactMs is how long a node must have been connected before bounds hold for it, in
	// milliseconds. Default 3000.
	ContactMs int64 `toml:"contact_ms"`
	// AckMs is the bound on the answer to a control call, in milliseconds. Default 4000.
	AckMs int64 `toml:"ack_ms"`
	// SyncS is the bound on the repair of a replica after a failure, in seconds. Default 5.
	SyncS float64 `toml:"sync_s"`
	// DrainMs is the bound after which a draining worker gets no request, in milliseconds.
	// Default 2000.
	DrainMs int64 `toml:"drain_ms"`
	// GraceS is the time between SIGTERM and SIGKILL, in seconds. Default 8.
	GraceS float64 `toml:"grace_s"`
	// ApplyMs is the bound on a configuration to be in force everywhere, in milliseconds.
	// Default 2000.
	ApplyMs int64 `toml:"apply_ms"`
	// PollS is how long the results of batch jobs stay readable, in seconds: above 0 and at
	// most a day. Default 120. Read at the start only.
	PollS float64 `toml:"poll_s"`
	// CancelMs is the bound after which a cancelled job starts no item, in milliseconds.
	// Default 3000.
	CancelMs int64 `toml:"cancel_ms"`
	// ReadableMs is the bound after which an accepted job can be read at any node, in
	// milliseconds. Default 1000.
	ReadableMs int64 `toml:"settle_ms"`
	// QuotaOver is the fraction by which the tokens of a tenant's accepted jobs may exceed its
	// backlog quota. Default 0.
	QuotaOver float64 `toml:"quota_over"`
}

// PeerAddr is the address on which this node listens for its peers.
func (o *Options) PeerAddr() string {
	return net.JoinHostPort(o.IPAddr, strconv.Itoa(o.PortRange[0]))
}

// SeedAddrs are the peer addresses of the seeds. All machines use the same ports, so only the
// hosts of the seeds count (design 3.1).
func (o *Options) SeedAddrs() []string {
	var out []string
	for _, seed := range o.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(o.PortRange[0])))
		}
	}
	return out
}

// Has reports whether the node serves that.
func (o *Options) Has(service string) bool {
	for _, s := range o.Serves {
		if strings.EqualFold(s, service) {
			return true
		}
	}
	return false
}

// GraceUs is the time between SIGTERM and SIGKILL in microseconds.
func (o *Options) GraceUs() int64 {
	return int64(o.Bounds.GraceS * float64(time.Second/time.Microsecond))
}
