package faultgen

import (
	"encoding/json"
	"os"
	"sort"

	"github.com/go-faster/errors"
)

// Report is the part of the player's report that says whether a day held.
type Report struct {
	Worth  float64                    `json:"G"`
	Served float64                    `json:"served"`
	Fault  json.RawMessage            `json:"fault"`
	Breaks map[string]json.RawMessage `json:"breaks"`
	Short  []json.RawMessage          `json:"short"`
}

// Rules are the names of the rules that were broken, sorted; a fault of the day as
// such counts as the last one.
func (r Report) Rules() []string {
	var rules []string
	for rule := range r.Breaks {
		rules = append(rules, rule)
	}
	sort.Strings(rules)
	if fault := string(r.Fault); fault != "" && fault != "null" {
		rules = append(rules, "fault")
	}
	return rules
}

func readReport(path string) (Report, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Report{}, errors.Wrap(err, "read report")
	}
	var report Report
	if err := json.Unmarshal(raw, &report); err != nil {
		return Report{}, errors.Wrapf(err, "decode report %s", path)
	}
	return report, nil
}
