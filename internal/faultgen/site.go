package faultgen

import (
	"slices"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"
)

// named is an element of a site of which only the name matters.
type named struct {
	Name string `toml:"name"`
}

// Site is the part of a site file that a draw depends on.
type Site struct {
	Name      string   `toml:"name"`
	Contracts []string `toml:"contracts"`
	LengthS   float64  `toml:"length_s"`
	Zones     []named  `toml:"zones"`
	Services  []named  `toml:"services"`
	Classes   []named  `toml:"classes"`
	Timing    struct {
		CatchUpS float64 `toml:"catch_up_s"`
	} `toml:"timing"`
	Tolerate struct {
		Machines int `toml:"machines"`
	} `toml:"tolerate"`
}

// ReadSite reads a site file.
func ReadSite(path string) (Site, error) {
	var site Site
	if _, err := toml.DecodeFile(path, &site); err != nil {
		return Site{}, errors.Wrapf(err, "read site %s", path)
	}
	if site.Name == "" || len(site.Zones) == 0 || len(site.Services) == 0 || len(site.Classes) == 0 {
		return Site{}, errors.Errorf("site %s: name, zones, services and classes are needed", path)
	}
	return site, nil
}

// Allows reports whether the site has the contract that a kind depends on.
func (s Site) Allows(kind Kind) bool {
	return kind.Contract == "" || slices.Contains(s.Contracts, kind.Contract)
}
