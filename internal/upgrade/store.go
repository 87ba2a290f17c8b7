package upgrade

import (
	"sort"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
	"rowanshunt/internal/config"
	"rowanshunt/internal/consensus"
	"rowanshunt/internal/fault"
)

// keyPrefix, with the service's name, is the register attribute of an upgrade. The
// value is from the first version: upgrades are stored under it, and it also ranks
// the nodes of every version alike.
const keyPrefix = "moult/"

// maxUpgrades is how many upgrades are kept before those that ended, of services
// that the configuration no longer has, are dropped.
const maxUpgrades = 256

// Load reads the upgrade of a service from the register's state, nil if there is
// none.
func Load(state *consensus.State, service string) *Upgrade {
	if state == nil {
		return nil
	}
	raw := state.Attributes[keyPrefix+service]
	if raw == nil {
		return nil
	}
	u := &Upgrade{}
	if err := msgpack.Unmarshal(raw, u); err != nil {
		return nil
	}
	return u
}

// All lists the upgrades in a state, by service.
func All(state *consensus.State) []*Upgrade {
	if state == nil {
		return nil
	}
	var upgrades []*Upgrade
	for key := range state.Attributes {
		service, isUpgrade := strings.CutPrefix(key, keyPrefix)
		if !isUpgrade || service == "" {
			continue
		}
		if u := Load(state, service); u != nil {
			upgrades = append(upgrades, u)
		}
	}
	sort.Slice(upgrades, func(i, j int) bool { return upgrades[i].Service < upgrades[j].Service })
	return upgrades
}

// Status is the upgrade of a service as a state of the register has it, an Unknown
// fault if there is none.
func Status(state *consensus.State, service string) (*Upgrade, error) {
	u := Load(state, service)
	if u == nil {
		return nil, errNoUpgrade(service)
	}
	return u, nil
}

func errNoUpgrade(service string) error {
	return fault.New(fault.Unknown, service, "has no upgrade", "start one")
}

// store puts the upgrade into a state that is not shared yet.
func (u *Upgrade) store(state *consensus.State) error {
	raw, err := codec.Marshal(u)
	if err != nil {
		return err
	}
	state.SetAttribute(keyPrefix+u.Service, raw)
	dropOldUpgrades(state)
	return nil
}

// dropOldUpgrades bounds the upgrades in a state that is not shared yet.
func dropOldUpgrades(state *consensus.State) {
	count := 0
	for key := range state.Attributes {
		if strings.HasPrefix(key, keyPrefix) {
			count++
		}
	}
	if count <= maxUpgrades {
		return
	}
	configuration, err := config.Parse(state.Document)
	if err != nil {
		return // which services are gone is not known
	}
	state.DeleteAttributes(func(key string) bool {
		service, isUpgrade := strings.CutPrefix(key, keyPrefix)
		return isUpgrade && configuration.Services[service] == nil && !Load(state, service).Open()
	})
}
