// Command faultgen draws days of mixed faults for a deployment, has a player run
// them and shrinks those that broke a rule (docs/faultgen.md).
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes.
const (
	exitError  = 1
	exitUsage  = 2
	exitBroken = 3 // a day broke a rule
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code, err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultgen:", err)
		code = exitError
	}
	os.Exit(code)
}

// options are the flags and arguments of all commands but what names days.
type options struct {
	site, settings, player, out, why string
	plays, jobs                      int
}

// run parses the command line and runs its command.
func run(ctx context.Context, args []string) (exitCode int, err error) {
	var o options
	app := kingpin.New("faultgen", "Draws days of mixed faults, plays them, and shrinks those that broke a rule. Exit code 3: a rule was broken.")
	app.Flag("settings", "TOML file with the kinds of faults and their limits.").Default("examples/faults.toml").StringVar(&o.settings)
	app.Flag("player", "Command that plays a day; the settings' arguments follow it.").StringVar(&o.player)
	app.Flag("out", "Directory for days, reports and the player's output.").Default("run/faults").StringVar(&o.out)
	app.Flag("why", "Note that is handed to the player.").Default("trial: drawn day").StringVar(&o.why)
	app.Flag("plays", "Most days played to shrink one.").Default("40").IntVar(&o.plays)
	draw := app.Command("draw", "Write a drawn day to standard output.")
	hunt := app.Command("hunt", "Draw and play days, and keep those that broke a rule.")
	shrink := app.Command("shrink", "Find the fewest entries of a day that still break its rule.")
	for _, command := range []*kingpin.CmdClause{draw, hunt, shrink} {
		command.Arg("site", "Site file.").Required().StringVar(&o.site)
	}
	seed := draw.Flag("seed", "Seed of the day.").Required().Uint64()
	firstSeed := hunt.Flag("seed", "Seed of the first day; the next days count up.").Required().Uint64()
	days := hunt.Flag("days", "How many days.").Default("10").Int()
	hunt.Flag("jobs", "Days played at a time.").Default("1").IntVar(&o.jobs)
	shrinks := hunt.Flag("shrink", "Shrink each day that broke a rule.").Bool()
	path := shrink.Arg("day", "Day file.").Required().String()
	rules := shrink.Flag("rule", "Rule to keep broken; without it, those that the day breaks as it is.").Strings()

	command, err := app.Parse(args)
	if err != nil {
		return exitUsage, err
	}
	w, err := o.load()
	if err != nil {
		return exitError, err
	}
	switch command {
	case draw.FullCommand():
		return 0, w.draw(*seed)
	case hunt.FullCommand():
		return w.hunt(ctx, *firstSeed, *days, *shrinks)
	default:
		return w.shrinkFile(ctx, *path, *rules)
	}
}
