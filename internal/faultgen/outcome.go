package faultgen

import "strings"

// Outcome is one played day of a hunt.
type Outcome struct {
	Day    Day
	Report Report
	Err    error // the day could not be played
}

// Verdict says in a few words how a day ended.
func (o Outcome) Verdict() string {
	switch rules := o.Report.Rules(); {
	case o.Err != nil:
		return "not played: " + o.Err.Error()
	case len(rules) > 0:
		return "BROKE " + strings.Join(rules, " ")
	case len(o.Report.Short) > 0:
		return "short of its gate"
	default:
		return "held"
	}
}
