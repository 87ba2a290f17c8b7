package eventloop

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// The files that may read the time of day, and what for: logs, events and tracers. All
// else runs on clock.Now (design 1.6).
var readsTimeOfDay = map[string]string{
	"internal/events/emitter.go":        "the time of an event",
	"internal/node/run.go":              "the node's time of day, for tracers",
	"internal/node/configuration.go":    "when a configuration came into force, for tracers",
	"internal/node/edge.go":             "hands the clock on",
	"internal/ingress/configuration.go": "when a configuration was acknowledged, for tracers",
	"internal/batch/httpapi/submit.go":  "records when a job was submitted, for readers and the previous version",
	"cmd/tracer/print.go":               "prints the times that traces report",
}

// Fields that hold a time of day, and the files that may name them: records that
// carry them, never a decision.
var holdsTimeOfDay = map[string][]string{
	"SentUs":      {"internal/batch/job.go", "internal/batch/submit.go"},
	"ScheduledUs": nil,
	"NextUs":      nil,
	"CreatedUs":   nil,
}

// Methods that turn a time into one of the day, or drop its monotonic part.
var timeOfDayMethods = map[string]bool{"Unix": true, "UnixMicro": true, "UnixMilli": true, "UnixNano": true, "UTC": true, "Local": true, "Date": true,
	"Clock": true, "Round": true, "Truncate": true, "Format": true, "Gettimeofday": true, "ClockGettime": true, "TimestampUTC": true, "ModTime": true}

// Other uses of those names, by file.
var otherUses = map[string]string{
	"internal/forward/sweep.go": "Unix",     // a deadline in the past ends a read
	"internal/node/options.go":  "ModTime",  // tells whether a file changed
	"internal/wal/file.go":      "Truncate", // of a file
	"internal/wal/recover.go":   "Truncate", // of a file
}

// Methods on time.Now() that use its monotonic part.
var steadyMethods = map[string]bool{"Add": true, "Sub": true, "After": true, "Before": true, "Since": true, "Until": true}

// checkTimeOfDay lists the places of a file that read the time of day without
// being allowed to.
func checkTimeOfDay(fset *token.FileSet, name string, file *ast.File) (faults []string) {
	allowed := readsTimeOfDay[name] != ""
	fault := func(n ast.Node, what string) {
		faults = append(faults, fset.Position(n.Pos()).String()+": "+what)
	}
	steady := map[ast.Node]bool{} // time.Now() in places that are fine
	isNow := func(e ast.Expr) bool {
		call, ok := e.(*ast.CallExpr)
		if !ok {
			return false
		}
		sel, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return false
		}
		pkg, ok := sel.X.(*ast.Ident)
		return ok && pkg.Name == "time" && sel.Sel.Name == "Now"
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.AssignStmt:
			for _, e := range n.Rhs {
				steady[e] = true
			}
		case *ast.ValueSpec:
			for _, e := range n.Values {
				steady[e] = true
			}
		case *ast.CallExpr:
			if sel, ok := n.Fun.(*ast.SelectorExpr); ok {
				if steadyMethods[sel.Sel.Name] {
					steady[sel.X] = true
					for _, e := range n.Args {
						steady[e] = true
					}
				}
				pkg, _ := sel.X.(*ast.Ident)
				numbers := pkg != nil && pkg.Name == "math"
				if timeOfDayMethods[sel.Sel.Name] && !numbers && !allowed && otherUses[name] != sel.Sel.Name {
					fault(n, "calls "+sel.Sel.Name)
				}
			}
			if isNow(n) && !steady[n] && !allowed {
				fault(n, "time.Now() is handed on as a time of day")
			}
		case *ast.SelectorExpr:
			if n.Sel.Name == "WallUs" && !allowed {
				fault(n, "reads WallUs")
			}
			if files, ok := holdsTimeOfDay[n.Sel.Name]; ok {
				known := false
				for _, f := range files {
					known = known || f == name
				}
				if !known {
					fault(n, "reads the time of day in "+n.Sel.Name)
				}
			}
		case *ast.BinaryExpr:
			for _, e := range []ast.Expr{n.X, n.Y} {
				ast.Inspect(e, func(inner ast.Node) bool {
					if sel, ok := inner.(*ast.SelectorExpr); ok {
						if _, ok := holdsTimeOfDay[sel.Sel.Name]; ok || sel.Sel.Name == "WallUs" {
							fault(sel, "counts or compares with "+sel.Sel.Name)
						}
					}
					return true
				})
			}
		}
		return true
	})
	return faults
}

// No source but those listed reads the time of day, and none decides by it.
func TestTimeOfDayIsKeptOut(t *testing.T) {
	root := filepath.Join("..", "..")
	fset := token.NewFileSet()
	seen := map[string]bool{}
	for _, top := range []string{"internal", "cmd", "examples"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			name, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			name = filepath.ToSlash(name)
			seen[name] = true
			for _, fault := range checkTimeOfDay(fset, name, file) {
				t.Error(fault)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for name := range readsTimeOfDay {
		if !seen[name] {
			t.Errorf("%s is allowed to read the time of day and is not there", name)
		}
	}
}

// The check finds each way in which the time of day was read earlier.
func TestCheckFindsTimeOfDay(t *testing.T) {
	for body, want := range map[string]bool{
		`x := time.Now(); _ = time.Since(x)`:                 false,
		`until := time.Now().Add(time.Second); _ = until`:    false,
		`_ = time.Now().After(end)`:                          false,
		`_ = end.Before(time.Now())`:                         false,
		`x := time.Now().UnixMicro(); _ = x`:                 true,
		`x := time.Now(); _ = x.UnixNano()`:                  true,
		`x := time.Now().Round(0); _ = x`:                    true,
		`_ = cfg.WallUs() - lot.SentUs`:                      true,
		`set(time.Now())`:                                    true,
		`_ = math.Round(x)`:                                  false,
		`_ = lot.SentUs > age`:                               true,
		`x := time.Date(2026, 1, 1, 0, 0, 0, 0, nil); _ = x`: true,
	} {
		t.Run(body, func(t *testing.T) {
			fset := token.NewFileSet()
			file, err := parser.ParseFile(fset, "x.go", "package x\nfunc f() { "+body+" }", 0)
			if err != nil {
				t.Fatal(err)
			}
			if got := len(checkTimeOfDay(fset, "x.go", file)) > 0; got != want {
				t.Errorf("found %v, want %v", got, want)
			}
		})
	}
}
