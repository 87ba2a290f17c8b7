package settings

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// exitUsage is the exit code for a command line that cannot be read.
const exitUsage = 2

// ParseLine reads a command line. ended: the program is done, with that code,
// after its help or version, or for a line that cannot be read.
func ParseLine(app *kingpin.Application, args []string) (cmd string, code int, ended bool) {
	quit := -1
	app.HelpFlag.Short('h')
	app.UsageWriter(os.Stdout)
	app.Terminate(func(code int) {
		if quit < 0 {
			quit = code
		}
	})
	cmd, err := app.Parse(args)
	if quit >= 0 {
		return "", quit, true
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v (try %s --help)\n", app.Name, err, app.Name)
		return "", exitUsage, true
	}
	return cmd, 0, false
}
