package main

import (
	"os"
	"strings"

	"github.com/go-faster/errors"

	"rowanshunt/internal/faultgen"
)

// workspace is what every command works with.
type workspace struct {
	hunter   faultgen.Hunter
	maxPlays int // to shrink one day
}

// load reads the site and the settings.
func (o options) load() (workspace, error) {
	site, err := faultgen.ReadSite(o.site)
	if err != nil {
		return workspace{}, err
	}
	settings, err := faultgen.ReadSettings(o.settings)
	if err != nil {
		return workspace{}, err
	}
	player := faultgen.Player{
		Command: strings.Fields(o.player), Arguments: settings.Arguments,
		SitePath: o.site, Dir: o.out, Why: o.why,
	}
	hunter := faultgen.Hunter{Player: player, Site: site, Settings: settings, Jobs: o.jobs}
	return workspace{hunter: hunter, maxPlays: o.plays}, nil
}

// prepare checks and makes what playing needs and drawing does not.
func (w workspace) prepare() error {
	if len(w.hunter.Player.Command) == 0 {
		return errors.New("--player is needed to play days")
	}
	return os.MkdirAll(w.hunter.Player.Dir, 0o755)
}

// draw writes the day of a seed to standard output.
func (w workspace) draw(seed uint64) error {
	raw, err := faultgen.Draw(w.hunter.Site, w.hunter.Settings, seed).Encode()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(raw)
	return err
}
