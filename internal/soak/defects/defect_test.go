package defects

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"testing"

	"rowanshunt/internal/soak"
)

// Every defect can be put into today's sources, and what comes out is Go.
func TestDefectsApply(t *testing.T) {
	all, err := Read("testdata/defects.toml")
	if err != nil {
		t.Fatal(err)
	}
	for i := range all {
		defect := &all[i]
		t.Run(defect.Name, func(t *testing.T) {
			root := t.TempDir()
			if err := copySources("../../..", root); err != nil {
				t.Fatal(err)
			}
			if err := defect.Apply(root); err != nil {
				t.Fatal(err)
			}
			if len(defect.Rules) == 0 || defect.Why == "" {
				t.Error("no rule or no reason is given")
			}
			for _, edit := range defect.Edits {
				if _, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, edit.File), nil, parser.AllErrors); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

// A finding names the first of the defect's own rules and lists the others once.
func TestFindingObserves(t *testing.T) {
	f := &Finding{Defect: Defect{Name: "d", Rules: []string{"LOST", "RESULTS"}}, Seeds: 2}
	f.observe([]soak.Violation{{Rule: "CONFIG"}, {Rule: "RESULTS"}, {Rule: "CONFIG"}, {Rule: "LOST"}})
	if want := "| `d` | LOST, RESULTS | RESULTS | 2 | CONFIG |"; f.Row() != want {
		t.Errorf("row %q, want %q", f.Row(), want)
	}
}
