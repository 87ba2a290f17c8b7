package settings

import (
	"net"
	"strconv"
	"strings"

	"rowanshunt/internal/fault"
)

// MaxFailures is the largest number of lost machines that the members of the register can
// tolerate.
const MaxFailures = 3

// maxPollS is a day: results of batch jobs take space on the stores' disks while they stay.
const maxPollS = 86_400

// What a process needs at least. With less it would start and fail later.
const (
	minNoFile      = 256
	minEdgeMb      = 32
	minStoreMb     = 64
	minStoreDiskMb = 32
)

// Check returns all faults of the options, each with its field and a remedy. What depends on
// the role is left to CheckRole.
func (o *Options) Check() error {
	var faults fault.Collector
	o.checkIdentity(&faults)
	o.checkMembership(&faults)
	o.checkAddresses(&faults)
	o.checkCaps(&faults)
	o.checkBounds(&faults)
	return faults.Err()
}

func (o *Options) checkIdentity(faults *fault.Collector) {
	if o.Node == "" {
		faults.Addf("node", "is missing", "give the node's name")
	}
	if net.ParseIP(o.IPAddr) == nil {
		faults.Addf("ipaddr", strconv.Quote(o.IPAddr)+" is no IP address", "give the address of this machine")
	}
	if len(o.PortRange) != 2 || o.PortRange[0] < 1 || o.PortRange[1] > 65535 || o.PortRange[0] > o.PortRange[1] {
		faults.Addf("port_range", "must be two ports, the first not above the second", "give e.g. [7660,7675]")
	}
}

// checkMembership checks by which nodes and in which zone the node joins the system.
func (o *Options) checkMembership(faults *fault.Collector) {
	if len(o.Seeds) == 0 {
		faults.Addf("seeds", "is empty", "give at least one ctl address of another node or this one")
	}
	for _, seed := range o.Seeds {
		if _, _, err := net.SplitHostPort(seed); err != nil {
			faults.Addf("seeds", strconv.Quote(seed)+" is no host:port", "give ctl addresses as host:port")
		}
	}
	if o.Az == "" {
		faults.Addf("az", "is missing", "give the zone's name")
	}
}

func (o *Options) checkAddresses(faults *fault.Collector) {
	for field, addr := range map[string]string{"listen.http": o.Listen.HTTP, "listen.readyz": o.Listen.Readyz, "listen.ctl": o.Listen.Ctl} {
		if addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			faults.Addf(field, strconv.Quote(addr)+" is no host:port", "give it as host:port")
		}
	}
	if o.Sink != "" && !strings.HasPrefix(o.Sink, "http://") && !strings.HasPrefix(o.Sink, "https://") {
		faults.Addf("events_sink", strconv.Quote(o.Sink)+" is no http address", "give a URL, or leave it out")
	}
}

func (o *Options) checkCaps(faults *fault.Collector) {
	if o.Caps.CPUFrac < 0 || o.Caps.RAMMb < 0 || o.Caps.NoFile < 0 || o.Caps.DiskMb < 0 {
		faults.Addf("caps", "holds a negative number", "give what the machine has")
	}
}

func (o *Options) checkBounds(faults *fault.Collector) {
	if !(o.Bounds.PollS > 0 && o.Bounds.PollS <= maxPollS) { // also if it is no number
		faults.Addf("bounds.poll_s", "is not above 0, or over a day", "give for how many seconds results stay readable")
	}
	if o.Ft.Nodes < 0 {
		faults.Addf("ft.nodes", "is negative", "give 0 or more")
	}
	if o.Ft.Nodes > MaxFailures {
		faults.Addf("ft.nodes", "is over "+strconv.Itoa(MaxFailures), "the register has at most "+strconv.Itoa(2*MaxFailures+1)+" members, which bear the loss of so many: give less")
	}
}

// CheckRole returns all faults of the options of a node in that role.
func (o *Options) CheckRole(role string) error {
	var faults fault.Collector
	switch role {
	case RoleEdge:
		if o.Listen.HTTP == "" {
			faults.Addf("listen.http", "is missing", "an edge node serves clients: give its address")
		}
		if o.Listen.Ctl == "" {
			faults.Addf("listen.ctl", "is missing", "an edge node serves workers and operators: give its address")
		}
		if o.Listen.Readyz == "" {
			faults.Addf("listen.readyz", "is missing", "give the address the platform asks for readiness")
		}
	case RoleStore:
		if o.DataDir == "" {
			faults.Addf("datadir", "is missing", "a store keeps data: give a folder on its disk")
		}
	}
	o.checkMachine(&faults, role)
	return faults.Err()
}

// checkMachine checks that the machine is large enough for the role.
func (o *Options) checkMachine(faults *fault.Collector, role string) {
	ramMb := int64(minEdgeMb)
	if role == RoleStore {
		ramMb = minStoreMb
		if o.Caps.DiskMb > 0 && o.Caps.DiskMb < minStoreDiskMb {
			faults.Addf("caps.disk_mb", "is below "+strconv.Itoa(minStoreDiskMb), "a store writes its file anew beside the old one: give it a larger disk")
		}
	}
	if o.Caps.RAMMb < ramMb {
		faults.Addf("caps.ram_mb", "is below "+strconv.FormatInt(ramMb, 10), "give this role a larger machine")
	}
	if o.Caps.NoFile < minNoFile {
		faults.Addf("caps.nofile", "is below "+strconv.Itoa(minNoFile), "raise the limit of descriptors")
	}
}

// Warnings lists valid settings whose consequences an operator should know, each with a remedy.
func (o *Options) Warnings() []string {
	var out []string
	if o.Ft.Azs > 0 || o.Ft.Regions > 0 {
		out = append(out, "ft.azs, ft.regions: shards are spread over zones, the register's members are not: the loss of a zone is borne only while a majority of the members is elsewhere (remedy: place the disks so)")
	}
	if o.Ft.Nodes == 0 {
		out = append(out, "ft.nodes: is 0: every batch job has one replica, and the loss of its disk loses it (remedy: give 1 and three disk machines of each kind)")
	}
	return out
}
