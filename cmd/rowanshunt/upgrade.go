package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"rowanshunt/internal/upgrade"
)

// upgradeCommand is `rowanshunt upgrade ...`: model upgrades through any node
// (docs/upgrades.md).
type upgradeCommand struct {
	client  controlClient
	service string
	to      int64
	rules   upgrade.Rules
	asJSON  bool
	// idempotencyKey lets the nodes carry an order out once, whichever of them gets it.
	idempotencyKey string
}

func addUpgradeCommands(app *kingpin.Application, commands handlers) {
	u := &upgradeCommand{
		client:         controlClient{unsureRemedy: "ask for the status, then try again"},
		rules:          upgrade.DefaultRules(),
		idempotencyKey: rand.Text(),
	}
	parent := app.Command("upgrade", "Move a service's workers to a new model version while they serve.")
	u.client.addFlags(parent)
	parent.Flag("service", "The service, as the configuration names it.").Required().StringVar(&u.service)
	parent.Flag("json", "Print JSON.").BoolVar(&u.asJSON)

	start := parent.Command("start", "Start an upgrade.")
	start.Flag("to", "The version of the weights to move to.").Required().Int64Var(&u.to)
	u.addRuleFlags(start)
	commands[start.FullCommand()] = u.start

	status := parent.Command("status", "Show how far an upgrade is and which workers may be replaced.")
	commands[status.FullCommand()] = u.status
	for _, order := range []struct{ name, help string }{
		{"pause", "Pause an upgrade."},
		{"resume", "Let a paused upgrade go on."},
		{"undo", "Take an upgrade back, in waves."},
	} {
		command := parent.Command(order.name, order.help)
		commands[command.FullCommand()] = func() error { return u.order(order.name, nil) }
	}
}

// addRuleFlags adds a flag for each rule, with its default.
func (u *upgradeCommand) addRuleFlags(start *kingpin.CmdClause) {
	r := &u.rules
	start.Flag("min-replicas", "Workers that must keep answering each group of requests with the same prompt prefix.").Default(fmt.Sprint(r.MinReplicas)).Int64Var(&r.MinReplicas)
	start.Flag("max-share", "Largest share of the workers drained at once.").Default(fmt.Sprint(r.MaxShare)).Float64Var(&r.MaxShare)
	start.Flag("max-late", "Pause when a larger share of answers is over its latency target.").Default(fmt.Sprint(r.MaxLate)).Float64Var(&r.MaxLate)
	start.Flag("max-failed", "Pause when a larger share of answers fails.").Default(fmt.Sprint(r.MaxFailed)).Float64Var(&r.MaxFailed)
	start.Flag("min-well", "Pause when a smaller share of the workers is healthy.").Default(fmt.Sprint(r.MinHealthyShare)).Float64Var(&r.MinHealthyShare)
	wave := durationFlag(start, "wave-timeout", "Pause when the workers of a wave are not replaced within this time.", r.WaveMs)
	spread := durationFlag(start, "spread-timeout", "Pause when a group has too few replicas for this long.", r.SpreadMs)
	warm := durationFlag(start, "warm", "Time over which a replaced worker warms up (slow start).", r.WarmMs)
	start.PreAction(func(*kingpin.ParseContext) error {
		r.WaveMs, r.SpreadMs, r.WarmMs = wave.Milliseconds(), spread.Milliseconds(), warm.Milliseconds()
		return nil
	})
}

func durationFlag(command *kingpin.CmdClause, name, help string, defaultMs int64) *time.Duration {
	return command.Flag(name, help).Default((time.Duration(defaultMs) * time.Millisecond).String()).Duration()
}

func (u *upgradeCommand) path() string { return "/-/upgrades/" + u.service }

func (u *upgradeCommand) start() error {
	body, err := json.Marshal(map[string]any{"to": u.to, "rules": u.rules})
	if err != nil {
		return err
	}
	return u.order("start", body)
}

func (u *upgradeCommand) order(name string, body []byte) error {
	return u.call(controlRequest{method: http.MethodPost, path: u.path() + "/" + name, body: body})
}

func (u *upgradeCommand) status() error {
	return u.call(controlRequest{method: http.MethodGet, path: u.path()})
}

// call sends a request and prints the upgrade that is its response.
func (u *upgradeCommand) call(request controlRequest) error {
	request.header = http.Header{}
	request.header.Set("Idempotency-Key", u.idempotencyKey)
	raw, err := u.client.call(request)
	if err != nil {
		return err
	}
	if u.asJSON {
		fmt.Println(string(raw))
		return nil
	}
	var current upgrade.Upgrade
	if err := decodeResponse(raw, &current); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	printUpgrade(w, &current)
	return w.Flush()
}

func printUpgrade(w io.Writer, u *upgrade.Upgrade) {
	fmt.Fprintf(w, "service\t%s\nfrom\t%d\nto\t%d\nphase\t%s\nwave\t%d\ndriver\t%s\n", u.Service, u.From, u.To, u.Phase, u.Wave, u.Driver)
	if u.Undoing {
		fmt.Fprintln(w, "undoing\tyes")
	}
	if u.Why != "" {
		fmt.Fprintf(w, "why\t%s\nremedy\t%s\n", u.Why, u.Remedy)
	}
	for _, worker := range u.Drained {
		fmt.Fprintf(w, "out\t%s\t%s\t%s\n", worker.ID, worker.Addr, drainState(worker))
	}
}

// drainState is how far a worker is drained, in the words of docs/upgrades.md.
func drainState(worker upgrade.DrainedWorker) string {
	switch {
	case worker.Gone:
		return "gone"
	case worker.Idle:
		return "may be replaced"
	}
	return "draining"
}
