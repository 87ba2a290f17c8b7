package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"rowanshunt/internal/trace"
)

const timeLayout = "2006-01-02T15:04:05.000Z"

// printReport writes a report as a table, and below it what is missing.
func printReport(out io.Writer, r *trace.Report) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "%s %s\n", r.Kind, r.ID)
	for _, a := range r.Answers {
		if a.Silent {
			fmt.Fprintf(w, "%s\t%s\t%s\tsilent\t\n", a.Node, a.Role, a.Az)
			continue
		}
		for _, f := range a.Facts {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", a.Node, a.Role, a.Az, f.Hop, f.State, since(f.AtUs))
		}
	}
	_ = w.Flush()
	if r.Complete {
		fmt.Fprintln(out, "complete")
		return
	}
	fmt.Fprintln(out, "not complete:")
	for _, m := range r.Missing {
		fmt.Fprintln(out, "  "+m)
	}
}

// since formats a time of day in microseconds, 0 as "".
func since(us int64) string {
	if us <= 0 {
		return ""
	}
	return "since " + time.UnixMicro(us).UTC().Format(timeLayout)
}
