package wal

import (
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	syncFile = func(*os.File) error { return nil }
	os.Exit(m.Run())
}
