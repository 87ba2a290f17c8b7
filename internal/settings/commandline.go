package settings

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// exitUsage is the exit code for an invalid command line.
const exitUsage = 2

// ParseLine parses the command line of a program. If ended, the program must exit with that
// code: it printed its help or version, or the reason why the line is invalid.
func ParseLine(app *kingpin.Application, args []string) (command string, code int, ended bool) {
	const running = -1
	exit := running
	app.HelpFlag.Short('h')
	app.UsageWriter(os.Stdout)
	// Kingpin goes on after Terminate returns and may call it again: the first code counts.
	app.Terminate(func(code int) {
		if exit == running {
			exit = code
		}
	})
	command, err := app.Parse(args)
	if exit != running {
		return "", exit, true
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v (try %s --help)\n", app.Name, err, app.Name)
		return "", exitUsage, true
	}
	return command, 0, false
}
