package faultgen

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/go-faster/errors"

	"rowanshunt/internal/clock"
)

// stopTimeout is how long a player that got SIGTERM may take to end: long enough to
// write its report, and to stop the processes that it started.
const stopTimeout = 10 * clock.Second

// Player is the program that plays days. Its arguments are Arguments with
// {site}, {day}, {report} and {why} replaced.
type Player struct {
	Command   []string
	Arguments []string
	SitePath  string
	Dir       string // where days, reports and outputs are kept
	Why       string
}

// Play plays the day and reads its report. The day, the report and the player's
// output stay in the player's directory under the day's name.
func (p Player) Play(ctx context.Context, day Day) (Report, error) {
	base := filepath.Join(p.Dir, day.Name)
	if err := day.WriteFile(base + ".toml"); err != nil {
		return Report{}, err
	}
	output, err := os.Create(base + ".out")
	if err != nil {
		return Report{}, errors.Wrap(err, "keep output")
	}
	defer output.Close()
	line := slices.Concat(p.Command, p.arguments(base, day))
	command := exec.CommandContext(ctx, line[0], line[1:]...)
	command.Stdout, command.Stderr = output, output
	command.Cancel = func() error { return command.Process.Signal(syscall.SIGTERM) }
	command.WaitDelay = stopTimeout.Duration()
	runErr := command.Run()
	report, err := readReport(base + ".json")
	if err != nil && runErr != nil {
		return Report{}, errors.Wrapf(runErr, "play %s, see %s.out", day.Name, base)
	}
	return report, err
}

func (p Player) arguments(base string, day Day) []string {
	replace := strings.NewReplacer("{site}", p.SitePath, "{day}", base+".toml",
		"{report}", base+".json", "{why}", p.Why+": "+day.Name)
	arguments := make([]string, len(p.Arguments))
	for i, argument := range p.Arguments {
		arguments[i] = replace.Replace(argument)
	}
	return arguments
}
