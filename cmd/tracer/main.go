// Command tracer follows one change through all nodes of a system
// (docs/tracer.md).
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"rowanshunt/internal/settings"
	"rowanshunt/internal/trace"
)

// Exit codes, which scripts rely on; 2 is an invalid command line (settings.ParseLine).
const (
	exitComplete   = 0
	exitError      = 1
	exitIncomplete = 3
)

func main() { os.Exit(run(os.Args[1:])) }

// options are the arguments of a command line.
type options struct {
	nodes   []string
	json    bool
	timeout time.Duration
	change  change
}

// change names what is followed.
type change struct {
	kind string // as in the HTTP path
	id   string
	host string // of a batch job, else ""
}

func run(args []string) int {
	opts, code, ended := parse(args)
	if ended {
		return code
	}
	report, err := query(opts.nodes, opts.timeout, opts.change)
	if err != nil {
		fmt.Fprintln(os.Stderr, "tracer:", err)
		return exitError
	}
	if opts.json {
		raw, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			fmt.Fprintln(os.Stderr, "tracer:", err)
			return exitError
		}
		fmt.Println(string(raw))
	} else {
		printReport(os.Stdout, report)
	}
	if !report.Complete {
		return exitIncomplete
	}
	return exitComplete
}

// parse reads the command line; ended and code are those of settings.ParseLine.
func parse(args []string) (opts *options, code int, ended bool) {
	opts = &options{}
	app := kingpin.New("tracer", "Follow one change through all nodes: which nodes have it, where it is in force, what is missing. Exit code 0: everywhere; 3: not yet; 1: no node answered.")
	app.Flag("node", "ctl address of a node, host:port; may be given several times, tried in turn.").Required().StringsVar(&opts.nodes)
	app.Flag("json", "Print JSON.").BoolVar(&opts.json)
	app.Flag("timeout", "Time limit of the whole call.").Default("5s").DurationVar(&opts.timeout)
	configuration := app.Command(trace.ConfigurationName, "Follow a configuration.").Alias(settings.EarlierConfigurationName)
	version := configuration.Arg("version", "Its version.").Required().Uint64()
	worker := app.Command(trace.Worker, "Follow a worker.").Arg("id", "Its id.").Required().String()
	job := app.Command(trace.BatchJob, "Follow a batch job.")
	jobID := job.Arg("id", "Its id.").Required().String()
	host := job.Flag("host", "The host under which it was submitted.").Required().String()
	command, code, ended := settings.ParseLine(app, args)
	if ended {
		return nil, code, true
	}
	ids := map[string]string{trace.ConfigurationName: fmt.Sprint(*version), trace.Worker: *worker, trace.BatchJob: *jobID}
	opts.change = change{kind: command, id: ids[command], host: *host}
	return opts, 0, false
}
