package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"rowanshunt/internal/config"
	"rowanshunt/internal/fault"
	"rowanshunt/internal/settings"
)

// checkCommand is `rowanshunt check`: it checks files without starting anything.
type checkCommand struct {
	options       *globalOptions
	role          string
	configuration string // file, "" for none
	noOptions     bool
}

func addCheckCommand(app *kingpin.Application, commands handlers, options *globalOptions) {
	c := &checkCommand{options: options}
	check := app.Command("check", "Check an options file, and a configuration if one is named, without starting anything.")
	check.Flag("role", "Check the options for this role, edge or store.").EnumVar(&c.role, "edge", "store", settings.EarlierEdgeCommand, settings.EarlierStoreCommand)
	check.Flag("config", "A configuration (JSON) to check.").StringVar(&c.configuration)
	check.Flag(settings.EarlierConfigurationName, "The earlier name of --config.").Hidden().StringVar(&c.configuration)
	check.Flag("no-options", "Check the configuration only.").BoolVar(&c.noOptions)
	commands[check.FullCommand()] = c.run
}

// run checks what is asked for and reports all faults together.
func (c *checkCommand) run() error {
	var faults fault.Collector
	if !c.noOptions {
		faults.Add(c.checkOptions())
	}
	if c.configuration != "" {
		faults.Add(checkConfiguration(c.configuration))
	}
	return faults.Err()
}

func (c *checkCommand) checkOptions() error {
	options, err := settings.Load(settings.Path(c.options.file))
	if err != nil {
		return err
	}
	var faults fault.Collector
	if c.role != "" {
		faults.Add(options.CheckRole(settings.RoleOf(c.role)))
	}
	fmt.Printf("options ok: node=%s az=%s\n", options.Node, options.Az)
	for _, warning := range options.Warnings() {
		fmt.Println("doubtful:", warning)
	}
	return faults.Err()
}

func checkConfiguration(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fault.New(fault.Invalid, file, err.Error(), "name a readable file")
	}
	configuration, err := config.Parse(raw)
	if err != nil {
		return err
	}
	fmt.Printf("configuration ok: ver=%d routes=%d svcs=%d\n", configuration.Version, len(configuration.Routes), len(configuration.Services))
	return nil
}
