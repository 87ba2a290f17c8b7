package wal

import (
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

const (
	damagedSuffix = ".damaged"
	// maxQuarantineBytes bounds the copy of a damaged file that stays for the operator.
	maxQuarantineBytes = 16 << 20
)

// Recovered is what Recover found.
type Recovered struct {
	ID string
	// Fresh: there was no trace of an earlier file.
	Fresh bool
	// Damage is nil for a file that is valid to its end.
	Damage *Damage
	// QuarantinePath is where a file with Lost damage was put, "" if there is none.
	QuarantinePath string
}

// Recover checks a file before its owner takes an identity from it, and makes
// it anew where it is missing or lost something that had been synced: then with
// a new id, so that the owner comes back as another member and never with
// forgotten promises (design 10.2). The id is part of the file: neither is
// there without the other. legacyID is the id that belongs to a file of the
// first version, "" if there is none.
func Recover(dir, name, legacyID string) (Recovered, error) {
	path, err := prepareDir(dir, name)
	if err != nil {
		return Recovered{}, err
	}
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, os.ErrNotExist) {
		_, quarantined := os.Stat(path + damagedSuffix)
		id, err := create(dir, name)
		return Recovered{ID: id, Fresh: legacyID == "" && quarantined != nil}, err
	}
	if err != nil {
		return Recovered{}, errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	out, err := recoverFile(f, dir, name, legacyID)
	if err != nil || out.Damage == nil || !out.Damage.Lost {
		return out, err
	}
	if err := quarantine(path); err != nil {
		return out, err
	}
	out.QuarantinePath = path + damagedSuffix
	out.ID, err = create(dir, name)
	return out, err
}

// recoverFile scans the file, cuts a torn tail and converts a file of the first
// version to the present one. A file with Lost damage stays as it is.
func recoverFile(f *os.File, dir, name, legacyID string) (Recovered, error) {
	h, ok, err := readFileHeader(f)
	if err != nil {
		return Recovered{}, err
	}
	if !ok {
		return recoverLegacy(f, dir, name, legacyID)
	}
	result, err := scan(f, h, func([]byte) error { return nil })
	if err != nil {
		return Recovered{}, err
	}
	out := Recovered{ID: h.id, Damage: result.damage}
	if result.damage == nil || result.damage.Lost {
		return out, nil
	}
	return out, truncateTail(f, result.goodBytes)
}

// quarantine renames a damaged file, in place of an earlier one, and bounds it.
func quarantine(path string) error {
	quarantined := path + damagedSuffix
	if err := os.Rename(path, quarantined); err != nil {
		return errors.Wrap(err, "quarantine the damaged file")
	}
	if err := syncDir(filepath.Dir(path)); err != nil {
		return errors.Wrap(err, "quarantine the damaged file")
	}
	if info, err := os.Stat(quarantined); err == nil && info.Size() > maxQuarantineBytes {
		_ = os.Truncate(quarantined, maxQuarantineBytes)
	}
	return nil
}
