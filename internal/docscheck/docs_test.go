package docscheck

import (
	"fmt"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// exceptions are what pages may cite although it does not exist, each with its reason.
// section: of the tables below this heading, to the next one of the same or a higher
// level, only the last column is checked. name: this name, wherever the page has it. An
// exception that excuses nothing fails the test.
var exceptions = []struct{ page, section, name, reason string }{
	{page: "docs/glossary.md", section: "## Earlier names", reason: "its columns before the last list names that are not in the tree any more"},
	{page: "CONTRIBUTING.md", name: "TestName", reason: "stands for any test"},
	{page: "CONTRIBUTING.md", name: "internal/PACKAGE", reason: "stands for any package"},
}

// earlierPackages are package names that may not be cited any more, with today's name.
var earlierPackages = map[string]string{
	"lotstore":  "batch",
	"register":  "consensus",
	"rehearsal": "faultgen",
}

// finding is something that a page cites and that does not exist.
type finding struct {
	line int
	what string
}

var (
	codeSpan = regexp.MustCompile("`[^`]+`")
	// citedPath is a path from the root. What stands before it is looked at by pathFindings.
	citedPath  = regexp.MustCompile(`(?:internal|cmd|docs|examples)/[\w./*{},-]*[\w*}]`)
	insidePath = regexp.MustCompile(`[\w/.-]$`) // at the end of what stands before it
	citedTest  = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*\*?`)
	testRun    = regexp.MustCompile(`-(?:run|bench|fuzz|skip)\b`)
	symbol     = regexp.MustCompile(`^([a-z]\w*)((?:\.\w+)+)$`)
	link       = regexp.MustCompile(`\]\(([^)#\s]+)(?:#[^)]*)?\)`)
	fileEnd    = regexp.MustCompile(`\.(?:go|md|toml|json|txt|cell|log|service|sh|yml|yaml|tmp|new)$`)
	arguments  = regexp.MustCompile(`[(\[].*$`)
)

// check lists what a page cites that does not exist, by line.
func (tr *tree) check(page, text string) []finding {
	var findings []finding
	for i, line := range strings.Split(text, "\n") {
		for _, what := range slices.Concat(tr.pathFindings(line), tr.testFindings(line), tr.linkFindings(page, line)) {
			findings = append(findings, finding{i + 1, what})
		}
	}
	for _, span := range codeSpans(text) {
		for _, name := range strings.FieldsFunc(span.text, endsName) {
			if what := tr.nameFinding(name); what != "" {
				findings = append(findings, finding{span.line, what})
			}
		}
	}
	slices.SortStableFunc(findings, func(a, b finding) int { return a.line - b.line })
	return slices.Compact(findings)
}

// endsName tells whether a character separates the names in a code span.
func endsName(r rune) bool { return strings.ContainsRune(" \n\t;", r) }

// fragment is a piece of a page and its line.
type fragment struct {
	line int
	text string
}

// codeSpans lists what stands between backticks outside of fenced blocks. A span ends
// with its paragraph at the latest, so that a stray backtick spoils no more than that.
func codeSpans(text string) []fragment {
	var spans []fragment
	paragraph, start, fenced := "", 1, false
	flush := func(next int) {
		for _, at := range codeSpan.FindAllStringIndex(paragraph, -1) {
			line := start + strings.Count(paragraph[:at[0]], "\n")
			spans = append(spans, fragment{line, strings.Trim(paragraph[at[0]:at[1]], "`")})
		}
		paragraph, start = "", next
	}
	for i, line := range strings.Split(text, "\n") {
		fence := strings.HasPrefix(strings.TrimSpace(line), "```")
		if fence {
			fenced = !fenced
		}
		if fence || fenced || strings.TrimSpace(line) == "" {
			flush(i + 2)
			continue
		}
		paragraph += line + "\n"
	}
	flush(0)
	return spans
}

// pathFindings checks the paths of a line.
func (tr *tree) pathFindings(line string) (findings []string) {
	for _, at := range citedPath.FindAllStringIndex(line, -1) {
		before := line[:at[0]]
		if insidePath.MatchString(before) && !isRoot(before) {
			continue // a part of another path
		}
		cited := strings.TrimRight(line[at[0]:at[1]], ".,")
		for _, one := range alternatives(strings.TrimSuffix(cited, "/...")) {
			if !tr.hasPath(one) {
				findings = append(findings, one+" does not exist")
			}
		}
	}
	return findings
}

// isRoot tells whether what stands before a path names the root of the repository: by a
// dot, or by the name of the module.
func isRoot(before string) bool {
	if strings.HasSuffix(before, "./") {
		return true
	}
	return strings.HasSuffix(before, "rowanshunt/") && !strings.HasSuffix(before, "/rowanshunt/")
}

// alternatives expands one pair of braces.
func alternatives(cited string) []string {
	open, end := strings.Index(cited, "{"), strings.Index(cited, "}")
	if open < 0 || end < open {
		parts := strings.Split(cited, ",")
		return parts[:1]
	}
	var all []string
	for _, one := range strings.Split(cited[open+1:end], ",") {
		all = append(all, cited[:open]+one+cited[end+1:])
	}
	return all
}

// hasPath tells whether a path, which may have wildcards, or a symbol behind a folder's
// path, exists.
func (tr *tree) hasPath(cited string) bool {
	cited = strings.TrimSuffix(cited, "/")
	if tr.files[cited] {
		return true
	}
	if strings.Contains(cited, "*") {
		for name := range tr.files {
			if ok, err := path.Match(cited, name); err == nil && ok {
				return true
			}
		}
		return false
	}
	folder, name := path.Split(cited)
	pkg, _, isSymbol := strings.Cut(name, ".")
	return isSymbol && tr.files[folder+pkg] && tr.symbols[name]
}

// testFindings checks the names of tests in a line. A name that ends with a star, or
// stands behind a flag that takes an expression, may be the beginning of a test's name.
func (tr *tree) testFindings(line string) (findings []string) {
	for _, cited := range citedTest.FindAllString(line, -1) {
		prefix, isPrefix := strings.CutSuffix(cited, "*")
		exists := tr.tests[prefix]
		if !exists && (isPrefix || testRun.MatchString(line)) {
			for name := range tr.tests {
				exists = exists || strings.HasPrefix(name, prefix)
			}
		}
		if !exists {
			findings = append(findings, "no test "+cited)
		}
	}
	return findings
}

// linkFindings checks the links of a line to files, which are relative to the page.
func (tr *tree) linkFindings(page, line string) (findings []string) {
	for _, match := range link.FindAllStringSubmatch(line, -1) {
		if target := match[1]; !strings.Contains(target, ":") && !tr.files[path.Join(path.Dir(page), target)] {
			findings = append(findings, "link to "+target+", which does not exist")
		}
	}
	return findings
}

// nameFinding checks one name in a code span: of a Go file, or of a symbol of a package
// below internal/.
func (tr *tree) nameFinding(name string) string {
	name = arguments.ReplaceAllString(strings.Trim(name, ".,:*"), "")
	// pathFindings checks whole paths; a name with a wildcard stands for several files.
	isFile := strings.HasSuffix(name, ".go") && !citedPath.MatchString(name) && !strings.Contains(name, "*")
	if isFile && !tr.hasFile(name) {
		return "no file " + name
	}
	parts := symbol.FindStringSubmatch(name)
	if parts == nil || fileEnd.MatchString(name) {
		return ""
	}
	pkg, member := parts[1], parts[2][1:]
	isExported := member[0] >= 'A' && member[0] <= 'Z'
	if now := earlierPackages[pkg]; now != "" && isExported {
		return fmt.Sprintf("%s: package %s is %s now", name, pkg, now)
	}
	if !tr.packages[pkg] || tr.symbols[name] {
		return ""
	}
	return "no symbol " + name
}

// hasFile tells whether some file's path ends with the name.
func (tr *tree) hasFile(name string) bool {
	for file := range tr.files {
		if file == name || strings.HasSuffix(file, "/"+name) {
			return true
		}
	}
	return false
}

// excused removes from a page's text what its exceptions allow. Lines stay, so that the
// numbers of the others do not change.
func (tr *tree) excused(t *testing.T, page, text string) string {
	t.Helper()
	for _, exception := range exceptions {
		if exception.page != page {
			continue
		}
		var rest string
		if exception.section != "" {
			rest = withoutEarlierColumns(text, exception.section)
		} else {
			rest = strings.ReplaceAll(text, exception.name, "")
		}
		if len(tr.check(page, rest)) >= len(tr.check(page, text)) {
			t.Errorf("%s: the exception for %q (%s) excuses nothing: drop it", page, exception.section+exception.name, exception.reason)
		}
		text = rest
	}
	return text
}

// withoutEarlierColumns empties all but the last cell of the rows of the tables below a
// heading.
func withoutEarlierColumns(text, section string) string {
	lines := strings.Split(text, "\n")
	for i := range sectionOf(lines, section) {
		if cells := strings.Split(lines[i], "|"); len(cells) > 3 {
			lines[i] = "|" + cells[len(cells)-2] + "|"
		}
	}
	return strings.Join(lines, "\n")
}

// sectionOf goes through the indices of the lines below a heading, to the next heading of
// the same or a higher level.
func sectionOf(lines []string, section string) func(yield func(int) bool) {
	return func(yield func(int) bool) {
		level, inside := len(section)-len(strings.TrimLeft(section, "#")), false
		for i, line := range lines {
			if heading := len(line) - len(strings.TrimLeft(line, "#")); heading > 0 && heading <= level {
				inside = line == section
			}
			if inside && !yield(i) {
				return
			}
		}
	}
}

// pages lists the pages that are checked. Incidents are history and keep the names of
// their day.
func pages(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	names := []string{"README.md"}
	if _, err := os.Stat(filepath.Join(root, "CONTRIBUTING.md")); err == nil {
		names = append(names, "CONTRIBUTING.md")
	}
	for _, file := range files {
		names = append(names, "docs/"+filepath.Base(file))
	}
	return names
}

func read(t *testing.T, page string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(page)))
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// What the pages cite exists.
func TestPagesCiteWhatExists(t *testing.T) {
	tr := readTree(t)
	for _, page := range pages(t) {
		for _, f := range tr.check(page, tr.excused(t, page, read(t, page))) {
			t.Errorf("%s:%d: %s", page, f.line, f.what)
		}
	}
}

// Whoever looks for a page finds it in docs/README.md.
func TestEveryPageIsListed(t *testing.T) {
	index := read(t, "docs/README.md")
	for _, page := range pages(t) {
		name, isPage := strings.CutPrefix(page, "docs/")
		if isPage && name != "README.md" && !strings.Contains(index, "`"+name+"`") && !strings.Contains(index, "("+name+")") {
			t.Errorf("docs/README.md does not list %s", name)
		}
	}
	if !strings.Contains(index, "incidents/") {
		t.Error("docs/README.md does not list incidents/")
	}
}

// eventName is a log event as the pages name it, perhaps with a key of it.
var eventName = regexp.MustCompile("`([a-z_]+)(?:\\.([a-z_]+))?`")

// logs tells whether the programs hold the name of an event, in one string or put together
// of two ("store_joining" and "_deferred").
func (tr *tree) logs(event string) bool {
	if tr.literals[`"`+event+`"`] {
		return true
	}
	at := strings.LastIndex(event, "_")
	return at > 0 && tr.literals[`"`+event[:at]+`"`] && tr.literals[`"`+event[at:]+`"`]
}

// Log events that the tables of events name are logged: those of the first column where
// the table describes events, of the last one where it lists renamed ones.
func TestLogEventsExist(t *testing.T) {
	tr := readTree(t)
	for _, table := range []eventTable{
		{"docs/operators.md", "## Reading the logs", "| event |", false},
		{"docs/operators.md", "## Log events and keys that were renamed", "| old | new |", true},
		{"docs/glossary.md", "### Log events", "| earlier | now |", true},
	} {
		rows := table.rows(read(t, table.page))
		for _, row := range rows {
			for _, cited := range eventName.FindAllStringSubmatch(row.text, -1) {
				event, key := cited[1], cited[2]
				if !tr.logs(event) || key != "" && !tr.literals[`"`+key+`"`] {
					t.Errorf("%s:%d: no log event %s", table.page, row.line, cited[0])
				}
			}
		}
		if len(rows) < minEventRows {
			t.Errorf("%s: only %d rows of events were found below %q", table.page, len(rows), table.section)
		}
	}
}

// minEventRows is the least number of rows that each of the tables has: with fewer, the
// table was not recognized.
const minEventRows = 10

// eventTable is where a page names log events.
type eventTable struct {
	page, section, header string
	renamed               bool // lists renamed events, the present ones in the last column
}

// rows lists the cells that name events, of the table's header too. Tables that describe
// events may be several in their section; of renamed ones, the first counts, since further
// ones are of keys.
func (et eventTable) rows(text string) (rows []fragment) {
	lines, inTable := strings.Split(text, "\n"), false
	for i := range sectionOf(lines, et.section) {
		cells := strings.Split(lines[i], "|")
		isRow, isHeader := len(cells) > 3, strings.HasPrefix(lines[i], et.header)
		inTable = isRow && (inTable || isHeader)
		switch {
		case inTable && et.renamed:
			rows = append(rows, fragment{i + 1, cells[len(cells)-2]})
		case inTable:
			rows = append(rows, fragment{i + 1, cells[1]})
		case et.renamed && len(rows) > 0:
			return rows
		}
	}
	return rows
}

// The check itself finds each kind of a wrong citation, at its line, and takes right ones.
func TestCheckFindsWrongCitations(t *testing.T) {
	tr := readTree(t)
	for _, one := range []struct {
		name, text string
		want       []finding
	}{
		{"right", "`internal/batch`, `cmd/tracer/main.go`, internal/batch/model_*_test.go, ./internal/...\n" +
			"`batch.Store`, `batch.Open(ctx)`, `forward.Forwarder.ServeHTTP`, `forward.Forwarder.Gate`, `forward.RecordTable.Put`\n" +
			"TestPagesCiteWhatExists, TestPages*, [x](design.md), [y](https://a.b/c.md), `batch/job.go`, `job.go`\n" +
			"`internal/batch/{job,op}.go`, `internal/batch.Store`, `register.cell`, `/etc/docs/none`, https://a.b/docs/none\n" +
			"```\ngo test -run TestPagesCite ./internal/docscheck\n```", nil},
		{"path", "a\n`internal/none/x.go`", []finding{{2, "internal/none/x.go does not exist"}}},
		{"module path", "rowanshunt/internal/none", []finding{{1, "internal/none does not exist"}}},
		{"wildcard", "internal/batch/none_*.go", []finding{{1, "internal/batch/none_*.go does not exist"}}},
		{"braces", "internal/batch/{job,none}.go", []finding{{1, "internal/batch/none.go does not exist"}}},
		{"symbol behind a path", "internal/batch.None", []finding{{1, "internal/batch.None does not exist"}}},
		{"path in a block", "```\ncmd/none\n```", []finding{{2, "cmd/none does not exist"}}},
		{"file", "`claim_none.go`", []finding{{1, "no file claim_none.go"}}},
		{"file of an earlier package", "`lotstore/job.go`", []finding{{1, "no file lotstore/job.go"}}},
		{"test", "see TestNoneSuch", []finding{{1, "no test TestNoneSuch"}}},
		{"tests", "see FuzzNoneSuch*", []finding{{1, "no test FuzzNoneSuch*"}}},
		{"run", "go test -run TestNoneSuch", []finding{{1, "no test TestNoneSuch"}}},
		{"function", "`batch.None`", []finding{{1, "no symbol batch.None"}}},
		{"method", "x\n\ny `forward.Forwarder.None()`", []finding{{3, "no symbol forward.Forwarder.None"}}},
		{"method without its type", "`forward.ServeHTTP`", []finding{{1, "no symbol forward.ServeHTTP"}}},
		{"span over two lines", "`a\nb` and\n`batch.None`", []finding{{3, "no symbol batch.None"}}},
		{"earlier package", "`lotstore.Store`", []finding{{1, "lotstore.Store: package lotstore is batch now"}}},
		{"link", "[x](none.md#a)", []finding{{1, "link to none.md, which does not exist"}}},
	} {
		if got := tr.check("docs/x.md", one.text); !slices.Equal(got, one.want) {
			t.Errorf("%s: found %v, want %v", one.name, got, one.want)
		}
	}
}

// In a section that is excepted, only the last column of tables is checked, and text is.
func TestOnlyEarlierColumnsAreExcused(t *testing.T) {
	text := "| `a` | `b` |\n## Earlier names\n### Sub\n`text`\n| `a` | `b` | `c` |\n## Next\n| `a` | `b` |"
	want := "| `a` | `b` |\n## Earlier names\n### Sub\n`text`\n| `c` |\n## Next\n| `a` | `b` |"
	if got := withoutEarlierColumns(text, "## Earlier names"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
