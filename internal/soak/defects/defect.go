// Package defects shows what the soak can find: it builds the program with one seeded defect
// after the other and runs seeds of the soak until the broken rule is named.
package defects

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"

	"github.com/BurntSushi/toml"
	"github.com/go-faster/errors"
)

// Defect is a fault to put into the program.
type Defect struct {
	Name  string   `toml:"name"`
	Rules []string `toml:"rules"` // each of them names the defect
	Why   string   `toml:"why"`   // a run could see it
	Edits []Edit   `toml:"edit"`
}

// Edit replaces one place of a source file.
type Edit struct {
	File   string `toml:"file"` // from the root of the module
	Before string `toml:"before"`
	After  string `toml:"after"`
}

// Read reads a TOML file with a table "defect" for each defect.
func Read(path string) ([]Defect, error) {
	var file struct {
		Defects []Defect `toml:"defect"`
	}
	meta, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, errors.Wrap(err, "read defects")
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, errors.Errorf("%s: unknown key %s", path, unknown[0])
	}
	return file.Defects, nil
}

// Select gives the defects of these names, all of them without a name.
func Select(all []Defect, names []string) ([]Defect, error) {
	if len(names) == 0 {
		return all, nil
	}
	var selected []Defect
	for _, name := range names {
		at := slices.IndexFunc(all, func(d Defect) bool { return d.Name == name })
		if at < 0 {
			return nil, errors.Errorf("no defect %q", name)
		}
		selected = append(selected, all[at])
	}
	return selected, nil
}

// Apply makes the edits in a copy of the sources.
func (d *Defect) Apply(root string) error {
	for i := range d.Edits {
		if err := d.Edits[i].apply(root); err != nil {
			return errors.Wrapf(err, "defect %s", d.Name)
		}
	}
	return nil
}

func (e *Edit) apply(root string) error {
	path := filepath.Join(root, e.File)
	source, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read source")
	}
	if n := bytes.Count(source, []byte(e.Before)); n != 1 {
		return errors.Errorf("%s has the place to edit %d times, want once", e.File, n)
	}
	return os.WriteFile(path, bytes.Replace(source, []byte(e.Before), []byte(e.After), 1), 0o600)
}
