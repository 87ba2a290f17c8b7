package cell

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"rowanshunt/internal/wax"
)

func open(t *testing.T, dir string) (*Cell, [][]byte, *Damage) {
	t.Helper()
	var got [][]byte
	c, d, err := Open(dir, "x.cell", func(r []byte) error { got = append(got, bytes.Clone(r)); return nil })
	if err != nil {
		t.Fatal(err)
	}
	return c, got, d
}

func write(t *testing.T, dir string, n int) {
	t.Helper()
	c, _, _ := open(t, dir)
	for i := range n {
		if err := c.Write([]byte(fmt.Sprintf("record %d of some length", i))); err != nil {
			t.Fatal(err)
		}
	}
	c.Close()
}

// Cut at every byte: every whole record before the cut comes back, nothing
// else does, and the file takes records again (design 10.2).
func TestCutAtEveryByte(t *testing.T) {
	src := t.TempDir()
	write(t, src, 5)
	whole, err := os.ReadFile(filepath.Join(src, "x.cell"))
	if err != nil {
		t.Fatal(err)
	}
	recLen := len(whole) / 5
	for cut := 0; cut <= len(whole); cut++ {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "x.cell"), whole[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		c, got, damage := open(t, dir)
		if len(got) != cut/recLen {
			t.Errorf("cut at %d: %d records, want %d", cut, len(got), cut/recLen)
		}
		if (damage != nil) != (cut%recLen != 0) {
			t.Errorf("cut at %d: damage %v", cut, damage)
		}
		if err := c.Write([]byte("after")); err != nil {
			t.Fatal(err)
		}
		c.Close()
		c, got, damage = open(t, dir)
		c.Close()
		if damage != nil || len(got) != cut/recLen+1 || string(got[len(got)-1]) != "after" {
			t.Errorf("cut at %d: after a new record %d, %v", cut, len(got), damage)
		}
	}
}

// Any one byte turned: no record that was touched comes back.
func TestTurnEveryByte(t *testing.T) {
	src := t.TempDir()
	write(t, src, 3)
	whole, _ := os.ReadFile(filepath.Join(src, "x.cell"))
	recLen := len(whole) / 3
	for at := range whole {
		bad := bytes.Clone(whole)
		bad[at] ^= 0x55
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "x.cell"), bad, 0o644); err != nil {
			t.Fatal(err)
		}
		c, got, damage := open(t, dir)
		c.Close()
		if len(got) != at/recLen || damage == nil || damage.AtByte != int64(at/recLen*recLen) {
			t.Errorf("byte %d turned: %d records, damage %+v", at, len(got), damage)
		}
	}
}

func TestRewrite(t *testing.T) {
	dir := t.TempDir()
	c, _, _ := open(t, dir)
	done := make(chan error, 3)
	c.Append(func(err error) { done <- err }, []byte("old"))
	c.Rewrite(func(err error) { done <- err }, Records([]byte("all that was")))
	c.Append(func(err error) { done <- err }, []byte("new"))
	for range 3 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	c.Close()
	c, got, damage := open(t, dir)
	defer c.Close()
	if damage != nil || len(got) != 2 || string(got[0]) != "all that was" || string(got[1]) != "new" {
		t.Errorf("after a rewrite: %q %v", got, damage)
	}
	if c.SizeBytes() != int64(2*headLen+len("all that was")+len("new")) {
		t.Errorf("size %d", c.SizeBytes())
	}
}

// A cell counts its batches, its bytes and its rewritings.
func TestWritten(t *testing.T) {
	c, _, _ := open(t, t.TempDir())
	for range 3 {
		if err := c.Write([]byte("four")); err != nil {
			t.Fatal(err)
		}
	}
	got := make(chan error, 1)
	c.Rewrite(func(err error) { got <- err }, Records([]byte("four")))
	if err := <-got; err != nil {
		t.Fatal(err)
	}
	if w := c.Written(); w.Syncs != 4 || w.Rewrites != 1 || w.Bytes != 4*(headLen+4) {
		t.Errorf("%+v", w)
	}
	c.Close()
}

func TestDeclined(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, 1)
	_, _, err := Open(dir, "x.cell", func([]byte) error { return errors.New("of another version") })
	if !wax.Is(err, wax.Damaged) {
		t.Errorf("a record of another version: %v", err)
	}
	c, _, _ := open(t, dir)
	if err := c.Write(nil); !wax.Is(err, wax.TooLarge) {
		t.Errorf("an empty record: %v", err)
	}
	c.Close()
	if err := c.Write([]byte("x")); !wax.Is(err, wax.Declined) {
		t.Errorf("a closed cell: %v", err)
	}
}
