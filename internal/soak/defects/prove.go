package defects

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"rowanshunt/internal/soak"
)

// sourceFolders and sourceFiles are what the program is built from.
var (
	sourceFolders = []string{"cmd", "internal"}
	sourceFiles   = []string{"go.mod", "go.sum"}
)

// Prover runs the soak on programs with a defect.
type Prover struct {
	Source   string // root of the module
	Work     string // folder for the builds and the runs
	Settings soak.Settings
	First    uint64 // first seed
	Limit    uint64 // seeds to run at most
}

// Finding is what the soak saw of a defect.
type Finding struct {
	Defect Defect
	Rule   string   // that named it, "" if none did
	Seeds  uint64   // that were run
	Others []string // other rules that were broken meanwhile
}

// Prove builds the program with the defect and runs seeds until one of its rules is named.
func (p *Prover) Prove(ctx context.Context, defect *Defect) (*Finding, error) {
	work := filepath.Join(p.Work, defect.Name)
	program := filepath.Join(work, "rowanshunt")
	if err := p.build(ctx, defect, filepath.Join(work, "source"), program); err != nil {
		return nil, err
	}
	finding := &Finding{Defect: *defect}
	for finding.Seeds < p.Limit && finding.Rule == "" {
		seed := p.First + finding.Seeds
		folder := filepath.Join(work, fmt.Sprint("seed-", seed))
		outcome, err := soak.Execute(ctx, soak.DrawPlan(p.Settings, seed), soak.Options{Program: program, Folder: folder})
		if err != nil {
			return nil, errors.Wrapf(err, "defect %s, seed %d", defect.Name, seed)
		}
		finding.Seeds++
		finding.observe(outcome.Violations)
	}
	return finding, nil
}

// observe takes the violations of one run.
func (f *Finding) observe(violations []soak.Violation) {
	for _, violation := range violations {
		switch {
		case slices.Contains(f.Defect.Rules, violation.Rule):
			if f.Rule == "" {
				f.Rule = violation.Rule
			}
		case !slices.Contains(f.Others, violation.Rule):
			f.Others = append(f.Others, violation.Rule)
		}
	}
}

// build copies the sources, puts the defect in and builds the program.
func (p *Prover) build(ctx context.Context, defect *Defect, source, program string) error {
	if err := copySources(p.Source, source); err != nil {
		return err
	}
	if err := defect.Apply(source); err != nil {
		return err
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/rowanshunt")
	build.Dir = source
	if out, err := build.CombinedOutput(); err != nil {
		return errors.Errorf("build with defect %s: %v: %s", defect.Name, err, out)
	}
	return nil
}

func copySources(from, to string) error {
	for _, folder := range sourceFolders {
		if err := os.CopyFS(filepath.Join(to, folder), os.DirFS(filepath.Join(from, folder))); err != nil {
			return errors.Wrap(err, "copy sources")
		}
	}
	for _, name := range sourceFiles {
		content, err := os.ReadFile(filepath.Join(from, name))
		if err != nil {
			return errors.Wrap(err, "copy sources")
		}
		if err := os.WriteFile(filepath.Join(to, name), content, 0o600); err != nil {
			return errors.Wrap(err, "copy sources")
		}
	}
	return nil
}

// Row is the finding as a row of a Markdown table with TableHeader.
func (f *Finding) Row() string {
	found, others := "not found", "none"
	if f.Rule != "" {
		found = f.Rule
	}
	if len(f.Others) > 0 {
		others = strings.Join(f.Others, ", ")
	}
	return fmt.Sprintf("| %#q | %s | %s | %d | %s |", f.Defect.Name, strings.Join(f.Defect.Rules, ", "), found, f.Seeds, others)
}

// TableHeader is that of the rows of findings.
const TableHeader = "| defect | rules | found by | seeds run | other rules broken |\n| --- | --- | --- | --- | --- |"
