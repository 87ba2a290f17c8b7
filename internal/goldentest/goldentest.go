// Package goldentest compares what the program writes to disk and sends to its
// peers with bytes that are kept under testdata/golden, and reads those bytes
// back. Only tests import it. With GOLDEN_UPDATE=1 in the environment the files
// are written anew: do that only for a format that has not been released yet.
package goldentest

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"rowanshunt/internal/codec"
)

const folder = "testdata/golden"

// Read gives the golden file of that name.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// CopyTo puts the golden file into a folder under the same name.
func CopyTo(t testing.TB, dir, name string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), Read(t, name), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Compare tells where bytes differ from the golden file of that name.
func Compare(t testing.TB, name string, got []byte) {
	t.Helper()
	if os.Getenv("GOLDEN_UPDATE") == "1" {
		if err := os.MkdirAll(folder, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, name), got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want := Read(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: encoded as\n%x\nwant\n%x", name, got, want)
	}
}

// logID is the identity of the log files that tests write.
const logID = "0123456789abcdef0123456789abcdef"

// The layout of a log file's header (package wal).
const (
	logMagic      = "RHWAL\x00\x02\n"
	identityBytes = 56
	markBytes     = 16
)

// NewLog writes an empty log file of package wal with an identity that is the
// same at each run, and gives the identity. The program draws it at random.
func NewLog(t testing.TB, dir, name string) (id string) {
	t.Helper()
	header := append([]byte(logMagic), logID...)
	header = binary.LittleEndian.AppendUint64(header, identityBytes+markBytes)
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, crc32.MakeTable(crc32.Castagnoli)))
	header = append(header, make([]byte, 4+markBytes)...)
	if err := os.WriteFile(filepath.Join(dir, name), header, 0o644); err != nil {
		t.Fatal(err)
	}
	return logID
}

// CompareLog compares a log file of package wal with the golden file of that
// name. The mark in the header is left out: whether it is there depends on how
// long the log rested before it was closed.
func CompareLog(t testing.TB, dir, name string) {
	t.Helper()
	got, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	clear(got[identityBytes : identityBytes+markBytes])
	Compare(t, name, got)
}

// Message is a value that peers send each other or keep in a record.
type Message struct {
	// Name is the golden file without its extension.
	Name string
	// Value points to a struct.
	Value any
	// Partial marks a value with some flags off, which tells flags apart. All
	// other values have each field set, and no two fields to the same.
	Partial bool
}

// Messages checks that each value has the bytes of its golden file, and that
// decode makes the same value of them.
func Messages(t *testing.T, decode func(raw []byte, value any) error, messages []Message) {
	t.Helper()
	for _, m := range messages {
		t.Run(m.Name, func(t *testing.T) {
			if !m.Partial {
				checkFilled(t, reflect.ValueOf(m.Value).Elem(), m.Name, map[string]string{})
			}
			raw, err := codec.Marshal(m.Value)
			if err != nil {
				t.Fatal(err)
			}
			Compare(t, m.Name+".msgpack", raw)
			got := reflect.New(reflect.TypeOf(m.Value).Elem()).Interface()
			if err := decode(Read(t, m.Name+".msgpack"), got); err != nil || !reflect.DeepEqual(got, m.Value) {
				t.Errorf("read as %+v, want %+v (%v)", got, m.Value, err)
			}
		})
	}
}

// checkFilled fails for an exported field that is empty, and for two that hold
// the same, flags aside.
func checkFilled(t *testing.T, v reflect.Value, at string, seen map[string]string) {
	t.Helper()
	if v.IsZero() && v.Type() != reflect.TypeFor[struct{}]() {
		t.Errorf("the test leaves %s empty", at)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		checkFilled(t, v.Elem(), at, seen)
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				checkFilled(t, v.Field(i), at+"."+f.Name, seen)
			}
		}
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			checkDistinct(t, v, at, seen)
			return
		}
		if v.Len() == 0 {
			t.Errorf("the test leaves %s empty", at)
		}
		for i := range v.Len() {
			checkFilled(t, v.Index(i), fmt.Sprintf("%s[%d]", at, i), seen)
		}
	case reflect.Map:
		for _, k := range v.MapKeys() {
			checkFilled(t, v.MapIndex(k), fmt.Sprintf("%s[%v]", at, k), seen)
		}
	case reflect.Bool:
	default:
		checkDistinct(t, v, at, seen)
	}
}

func checkDistinct(t *testing.T, v reflect.Value, at string, seen map[string]string) {
	t.Helper()
	text := fmt.Sprint(v)
	if other, found := seen[text]; found {
		t.Errorf("the test sets %s and %s to the same: %s", other, at, text)
	}
	seen[text] = at
}

// Shorter gives the encoded array without its last n elements, as a version
// that did not have them wrote it.
func Shorter(t testing.TB, raw []byte, n int) []byte {
	t.Helper()
	var elements []msgpack.RawMessage
	if err := msgpack.Unmarshal(raw, &elements); err != nil || len(elements) <= n {
		t.Fatalf("%d elements of %x cannot be cut off: %v", n, raw, err)
	}
	short, err := codec.Marshal(elements[:len(elements)-n])
	if err != nil {
		t.Fatal(err)
	}
	return short
}

// Kinds checks that the strings in the source of the package under test that
// begin with the prefix are these. Kinds of calls, keys in the register and names
// of files are part of the formats, whatever constants hold them.
func Kinds(t testing.TB, prefix string, want ...string) {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if lit, ok := n.(*ast.BasicLit); ok && lit.Kind == token.STRING {
				if s, err := strconv.Unquote(lit.Value); err == nil && strings.HasPrefix(s, prefix) {
					found[s] = true
				}
			}
			return true
		})
	}
	got := []string{}
	for s := range found {
		got = append(got, s)
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("the package has %q, want %q", got, want)
	}
}
