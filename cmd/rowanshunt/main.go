// Command rowanshunt is the one program of rowanshunt: the first argument is the role
// of the node, or a command for operators (design 1.1).
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"rowanshunt/internal/node"
	"rowanshunt/internal/settings"
)

// version is the version of the program; builds may set it.
var version = "0.1.0-dev"

func main() { os.Exit(start()) }

// start runs the program and returns its exit code.
func start() int {
	signals := node.CatchSignals()
	return run(os.Args[1:], signals)
}

// handlers are what the commands do, by their full names.
type handlers map[string]func() error

// globalOptions are the options of all commands. They are set once the command line
// is parsed.
type globalOptions struct {
	file     string
	logLevel string
	signals  *node.Signals
}

// runNode runs a node of a role until it is stopped.
func (g *globalOptions) runNode(role string) error {
	return node.Run(settings.Path(g.file), role, g.logLevel, g.signals)
}

// run carries out a command line and returns the exit code.
func run(args []string, signals *node.Signals) int {
	app := kingpin.New("rowanshunt", "A serving tier with a batch interface. Each process is a node in one role.")
	app.Version(version)
	options := &globalOptions{signals: signals}
	app.Flag("file", "Options file (TOML). Without it, $"+settings.EnvFile+", then "+settings.DefaultFile+".").StringVar(&options.file)
	app.Flag("log-level", "Lowest level logged.").Default("info").EnumVar(&options.logLevel, "debug", "info", "warn", "error")
	commands := handlers{}
	addNodeCommands(app, commands, options)
	addCheckCommand(app, commands, options)
	addUpgradeCommands(app, commands)
	addQuotaCommands(app, commands)
	selected, code, ended := settings.ParseLine(app, args)
	if ended {
		return code
	}
	if !isNodeCommand(selected) {
		signals.Release()
	}
	if err := commands[selected](); err != nil {
		fmt.Fprintln(os.Stderr, "rowanshunt:", err)
		return 1
	}
	return 0
}

// The commands that run a node.
const (
	edgeCommand  = "edge"
	storeCommand = "store"
)

// isNodeCommand tells whether a command runs a node.
func isNodeCommand(name string) bool {
	return name == edgeCommand || name == storeCommand
}

// addNodeCommands adds the commands that run a node until it is stopped.
func addNodeCommands(app *kingpin.Application, commands handlers, options *globalOptions) {
	edge := app.Command(edgeCommand, "Run a node that serves clients, workers and operators.").Alias(settings.EarlierEdgeCommand)
	commands[edge.FullCommand()] = func() error {
		return options.runNode(settings.RoleEdge)
	}
	store := app.Command(storeCommand, "Run a node that keeps batch jobs on its disk.").Alias(settings.EarlierStoreCommand)
	commands[store.FullCommand()] = func() error {
		return options.runNode(settings.RoleStore)
	}
}
