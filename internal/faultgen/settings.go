package faultgen

import (
	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"
)

// Range is an interval, both ends included.
type Range [2]float64

// Part is the list of a day that a kind's entries go to.
type Part string

// The two lists of a day.
const (
	Plan   Part = "plan"
	Faults Part = "faults"
)

// Kind says which fields an entry of this kind takes and within what limits.
type Kind struct {
	Kind     string   `toml:"kind"`
	Part     Part     `toml:"part"`
	Contract string   `toml:"contract"` // the site must have it
	Weight   int      `toml:"weight"`   // how often it is drawn; 1 when left out
	On       []string `toml:"on"`
	How      []string `toml:"how"`       // one of these variants
	Target   bool     `toml:"target"`    // takes one of Settings.Targets
	After    []string `toml:"after"`     // each of these with Chances.After
	Service  bool     `toml:"service"`   // names a service
	Class    bool     `toml:"class"`     // names a class of requests
	Zone     bool     `toml:"zone"`      // names a zone
	Loses    bool     `toml:"loses"`     // takes a machine away, so that a second loss may follow
	NewStore bool     `toml:"new_store"` // a store is added well before, so that enough are left
	Share    Range    `toml:"share"`     // zero ranges: the field is left out
	Count    Range    `toml:"count"`
	X        Range    `toml:"x"`
	GapS     Range    `toml:"gap_s"`
	ForS     Range    `toml:"for_s"`
}

// Shape is the size of a day: its length and how many entries it gets.
type Shape struct {
	Weight  int   `toml:"weight"` // how often it is drawn; 1 when left out
	LengthS Range `toml:"length_s"`
	Plan    Range `toml:"plan"`
	Faults  Range `toml:"faults"`
	Storms  Range `toml:"storms"` // entries of pairs of changes that overlap
	Kinds   Range `toml:"kinds"`  // a day keeps to so many kinds of faults; zero: all
}

// Chances are the odds of what a draw decides, each from 0 to 1.
type Chances struct {
	Closing  float64 `toml:"closing"`
	Target   float64 `toml:"target"`
	After    float64 `toml:"after"`
	Follow   float64 `toml:"follow"`    // a second loss right after the first is made good
	AckLost  float64 `toml:"ack_lost"`  // a storm loses its acknowledgements
	AllClass float64 `toml:"all_class"` // a service or class is left to the player's seed
}

// ClosingKind is a fault that may end a day, with its variants.
type ClosingKind struct {
	Kind string   `toml:"kind"`
	How  []string `toml:"how"`
}

// Settings are the kinds of faults and the limits of a draw.
type Settings struct {
	Arguments   []string      `toml:"arguments"` // of the player; see Player
	Targets     []string      `toml:"targets"`
	Chances     Chances       `toml:"chances"`
	Shapes      []Shape       `toml:"shape"`
	DownS       Range         `toml:"down_s"`
	FollowS     Range         `toml:"follow_s"` // past the time that makes a loss good
	Storm       Kind          `toml:"storm"`
	AckLost     Kind          `toml:"ack_lost"`
	Kinds       []Kind        `toml:"kind"`
	ClosingKind []ClosingKind `toml:"closing"`
}

// ReadSettings reads and validates the settings.
func ReadSettings(path string) (Settings, error) {
	var s Settings
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", path)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return Settings{}, errors.Errorf("settings %s: unknown key %s", path, extra[0])
	}
	return s, s.validate()
}

func (s Settings) validate() error {
	if len(s.Kinds) == 0 || len(s.ClosingKind) == 0 || len(s.Targets) == 0 || len(s.Shapes) == 0 {
		return errors.New("settings: kind, shape, closing and targets are needed")
	}
	for _, kind := range s.Kinds {
		if err := kind.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (k Kind) validate() error {
	if k.Kind == "" || (k.Part != Plan && k.Part != Faults) {
		return errors.Errorf("settings: kind %q: part %q is neither plan nor faults", k.Kind, k.Part)
	}
	for _, r := range []Range{k.Share, k.Count, k.X, k.GapS, k.ForS} {
		if r[0] < 0 || r[1] < r[0] {
			return errors.Errorf("settings: kind %s: bad range %v", k.Kind, r)
		}
	}
	return nil
}
