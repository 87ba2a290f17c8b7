package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"rowanshunt/internal/fault"
	"rowanshunt/internal/quota"
)

const quotasPath = "/-/quotas"

// currentVersion stands for the version in force, which is read first.
const currentVersion = -1

// quotaCommand is `rowanshunt quota ...`: fair shares for tenants (docs/quotas.md).
type quotaCommand struct {
	client controlClient
	file   string
	expect int64
	tenant string
	asJSON bool
}

func addQuotaCommands(app *kingpin.Application, commands handlers) {
	q := &quotaCommand{client: controlClient{unsureRemedy: "check which document is in force, then try again"}}
	parent := app.Command("quota", "Fair shares of the workers' KV cache and decode slots for tenants.")

	check := parent.Command("check", "Check a quota document (TOML) without setting it.")
	check.Arg("file", "The document.").Required().StringVar(&q.file)
	commands[check.FullCommand()] = q.check

	set := parent.Command("set", "Set a quota document (TOML); its ver must be above the one in force.")
	q.client.addFlags(set)
	set.Flag("on", "The version it builds on, 0 for the first. By default the one in force.").Default(strconv.Itoa(currentVersion)).Int64Var(&q.expect)
	set.Arg("file", "The document.").Required().StringVar(&q.file)
	commands[set.FullCommand()] = q.set

	show := parent.Command("show", "Show the quota document in force, as JSON.")
	q.client.addFlags(show)
	commands[show.FullCommand()] = q.show

	explain := parent.Command("explain", "Show a tenant's guarantee, usage, borrowed slots and waiting work at each service, and why.")
	q.client.addFlags(explain)
	explain.Flag("json", "Print JSON.").BoolVar(&q.asJSON)
	explain.Arg("tenant", "A tenant of the document, or "+quota.Others+".").Required().StringVar(&q.tenant)
	commands[explain.FullCommand()] = q.explain
}

func (q *quotaCommand) readFile() (*quota.Document, error) {
	raw, err := os.ReadFile(q.file)
	if err != nil {
		return nil, fault.New(fault.Invalid, q.file, err.Error(), "name a readable file")
	}
	return quota.ParseTOML(raw)
}

func (q *quotaCommand) check() error {
	d, err := q.readFile()
	if err != nil {
		return err
	}
	fmt.Printf("quotas ok: ver=%d tenants=%d services=%d\n", d.Version, len(d.Tenants), len(d.Shares))
	return nil
}

func (q *quotaCommand) set() error {
	d, err := q.readFile()
	if err != nil {
		return err
	}
	expect := q.expect
	if expect < 0 {
		if expect, err = q.versionInForce(); err != nil {
			return err
		}
	}
	header := http.Header{}
	header.Set("If-Match", strconv.FormatInt(expect, 10))
	if _, err := q.client.call(controlRequest{method: http.MethodPut, path: quotasPath, header: header, body: d.JSON()}); err != nil {
		return err
	}
	fmt.Printf("quotas set: ver=%d\n", d.Version)
	return nil
}

// versionInForce is the version of the document in force, 0 for none.
func (q *quotaCommand) versionInForce() (int64, error) {
	raw, err := q.client.call(controlRequest{method: http.MethodGet, path: quotasPath})
	var refused *refusedError
	if errors.As(err, &refused) && refused.status == http.StatusNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	d, err := quota.ParseJSON(raw)
	if err != nil {
		return 0, err
	}
	return d.Version, nil
}

func (q *quotaCommand) show() error {
	raw, err := q.client.call(controlRequest{method: http.MethodGet, path: quotasPath})
	if err != nil {
		return err
	}
	fmt.Println(string(raw))
	return nil
}

func (q *quotaCommand) explain() error {
	raw, err := q.client.call(controlRequest{method: http.MethodGet, path: quotasPath + "/" + q.tenant})
	if err != nil {
		return err
	}
	if q.asJSON {
		fmt.Println(string(raw))
		return nil
	}
	var statuses []quota.TenantStatus
	if err := decodeResponse(raw, &statuses); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	for i := range statuses {
		printTenantStatus(w, &statuses[i])
	}
	return w.Flush()
}

func printTenantStatus(w io.Writer, s *quota.TenantStatus) {
	fmt.Fprintf(w, "service\t%s\n", s.Service)
	fmt.Fprintf(w, "guaranteed\t%.4g%% of slots, %.4g%% of cache memory\n", s.SlotsPercent, s.KvPercent)
	if s.CapPercent > 0 {
		fmt.Fprintf(w, "cap\t%.4g%%\n", s.CapPercent)
	}
	fmt.Fprintf(w, "in use\t%.0f live and %.0f batch slots of %.0f, %.0f tokens of cache memory of %.0f\n", s.LiveSlots, s.BatchSlots, s.FleetSlots, s.Kv, s.FleetKv)
	if s.Bounded {
		fmt.Fprintf(w, "bounded to\t%.1f slots, %.0f tokens\n", s.AllowedSlots, s.AllowedKv)
	}
	fmt.Fprintf(w, "borrowed\t%.1f slots\n", s.Borrowed)
	fmt.Fprintf(w, "waiting\t%v\n", s.Waiting)
	fmt.Fprintf(w, "why\t%s\n", s.Why)
}
