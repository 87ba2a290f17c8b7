// Package faultgen draws days of mixed faults for a deployment, has a player
// run them, and shrinks those that broke a rule (docs/faultgen.md).
package faultgen

import (
	"bytes"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"
)

// Entry is one planned change or fault of a day, in the form of the site files.
type Entry struct {
	At      float64 `toml:"at"`
	Kind    string  `toml:"kind"`
	On      string  `toml:"on,omitempty"`
	Service string  `toml:"service,omitempty"`
	Class   string  `toml:"class,omitempty"`
	Zone    string  `toml:"zone,omitempty"`
	ToZone  string  `toml:"to_zone,omitempty"`
	Count   int     `toml:"count,omitzero"`
	Share   float64 `toml:"share,omitzero"`
	X       float64 `toml:"x,omitzero"`
	GapS    float64 `toml:"gap_s,omitzero"`
	ForS    float64 `toml:"for_s,omitzero"`
	How     string  `toml:"how,omitempty"`
}

// Closing is the fault that ends a day.
type Closing struct {
	Kind  string  `toml:"kind"`
	DownS float64 `toml:"down_s"`
	How   string  `toml:"how,omitempty"`
}

// Day is one day: its length, its entries and the seed of its player.
type Day struct {
	Name    string   `toml:"name"`
	Seed    uint64   `toml:"seed"`
	LengthS float64  `toml:"length_s"`
	Closing *Closing `toml:"closing,omitempty"`
	Plan    []Entry  `toml:"plan"`
	Faults  []Entry  `toml:"faults"`
}

// ReadDay reads a day file.
func ReadDay(path string) (Day, error) {
	var day Day
	if _, err := toml.DecodeFile(path, &day); err != nil {
		return Day{}, errors.Wrapf(err, "read day %s", path)
	}
	return day, nil
}

// Encode returns the day as TOML.
func (d Day) Encode() ([]byte, error) {
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode day")
	}
	return out.Bytes(), nil
}

// WriteFile writes the day to path.
func (d Day) WriteFile(path string) error {
	raw, err := d.Encode()
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}
