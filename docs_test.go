package garnethitch

import (
	"bytes"
	"maps"
	"os"
	"path"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	moduleName       = "garnethitch"
	architecturePage = "docs/architecture.md"
	operationsPage   = "docs/operations.md"
)

var (
	// codeSpan matches a text in backticks.
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// qualifiedName matches package.Name and package.Type.Name.
	qualifiedName = regexp.MustCompile(`^[a-z][a-z0-9]*(\.[A-Za-z_]\w*){1,2}$`)
	// typeMember matches Type.Name.
	typeMember = regexp.MustCompile(`^[A-Z]\w*\.[A-Za-z_]\w*$`)
	// mixedCaseName matches a word with an upper-case letter after a lower-case one. Such a word
	// can only be an identifier.
	mixedCaseName = regexp.MustCompile(`^[A-Za-z]*[a-z][A-Z][A-Za-z]*$`)
	// goFile matches the name of a Go file, with or without its directory.
	goFile = regexp.MustCompile(`^[\w/]+\.go$`)
	// diagramEdge matches a line of the architecture diagram: a package and its imports.
	diagramEdge = regexp.MustCompile(`(?m)^ {4}([\w/]+) +-> (.+)$`)
	// tableRow matches a row of a table and captures its first column.
	tableRow = regexp.MustCompile(`(?m)^\| (.+?) \|`)
	// questionRow matches a row of the table of questions and captures its second and third
	// columns.
	questionRow = regexp.MustCompile(`(?m)^\| (?:an? |the |old |users |heartbeats |machines )[^|]+ \| ([^|]+) \| ([^|]+) \|$`)
	// fileWithNames matches the name of a file followed by names that the file should declare.
	fileWithNames = regexp.MustCompile("`([\\w/]+\\.go)`(?: \\(at the root\\))?: ((?:`[\\w.]+`(?:, )?)+)")
	// testName matches the name of a test, benchmark or fuzz test.
	testName = regexp.MustCompile(`^(Test|Benchmark|Fuzz)\w+$`)
)

// codeSpans returns the texts in backticks in a page.
func codeSpans(page string) (spans []string) {
	for _, match := range codeSpan.FindAllStringSubmatch(page, -1) {
		spans = append(spans, match[1])
	}
	return spans
}

// readPage returns the text of a page without carriage returns.
func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(bytes.ReplaceAll(text, []byte("\r"), nil))
}

// TestArchitecturePage checks that each package, function and type that the page names in backticks
// exists in the code, and that its diagram contains every package with exactly its imports.
func TestArchitecturePage(t *testing.T) {
	names := parseModule(t)
	page := readPage(t, architecturePage)
	for _, wrong := range names.missingNames(page) {
		t.Errorf("%s names %s, which is not in the code", architecturePage, wrong)
	}
	diagram := map[string]map[string]bool{}
	for _, match := range diagramEdge.FindAllStringSubmatch(page, -1) {
		imports := map[string]bool{}
		if match[2] != "(none)" {
			for _, name := range strings.Fields(match[2]) {
				imports[name] = true
			}
		}
		diagram[match[1]] = imports
	}
	inCode := names.diagramPackages()
	for _, name := range slices.Sorted(maps.Keys(inCode)) {
		if _, ok := diagram[name]; !ok {
			t.Errorf("%s: the diagram does not contain %s", architecturePage, name)
		} else if !maps.Equal(diagram[name], inCode[name]) {
			t.Errorf("%s: %s imports %q according to the diagram, %q according to the code", architecturePage, name,
				slices.Sorted(maps.Keys(diagram[name])), slices.Sorted(maps.Keys(inCode[name])))
		}
	}
	for name := range diagram {
		if _, ok := inCode[name]; !ok {
			t.Errorf("%s: the diagram contains %s, which is not a package", architecturePage, name)
		}
	}
}

// diagramPackages returns the packages that the diagram must contain and their imports, under
// their names in the diagram. The package micros is excluded because nearly all packages import
// it, and so are the tools.
func (n *codeNames) diagramPackages() map[string]map[string]bool {
	diagram := map[string]map[string]bool{}
	for name, imports := range n.packages {
		if name == "internal/micros" || strings.HasPrefix(name, "tools") {
			continue
		}
		out := map[string]bool{}
		for imported := range imports {
			if imported != "internal/micros" {
				out[diagramName(imported)] = true
			}
		}
		diagram[diagramName(name)] = out
	}
	return diagram
}

// diagramName returns the name of a package in the diagram.
func diagramName(packagePath string) string {
	if packagePath == "." {
		return "library"
	}
	return strings.TrimPrefix(packagePath, "internal/")
}

// missingNames returns the packages, functions, types, tests and files that a page names in
// backticks but that do not exist in the code. protocolWords are excepted.
func (n *codeNames) missingNames(page string) (wrong []string) {
	packageNames := map[string]bool{}
	for name := range n.declared {
		packageName, _, _ := strings.Cut(name, ".")
		packageNames[packageName] = true
	}
	for _, span := range codeSpans(page) {
		switch {
		case strings.HasPrefix(span, "internal/"):
			if _, err := os.Stat(span); err != nil {
				wrong = append(wrong, span)
			}
		case goFile.MatchString(span):
			if !n.files[path.Base(span)] {
				wrong = append(wrong, span)
			}
		case qualifiedName.MatchString(span):
			first, rest, _ := strings.Cut(span, ".")
			if testName.MatchString(rest) {
				if !n.identifiers[rest] {
					wrong = append(wrong, span)
				}
			} else if packageNames[first] && n.declared[span] == nil {
				wrong = append(wrong, span)
			} else if !packageNames[first] && n.lacksMember(span) {
				wrong = append(wrong, span)
			}
		case typeMember.MatchString(span):
			if n.lacksMember(span) {
				wrong = append(wrong, span)
			}
		case testName.MatchString(span), mixedCaseName.MatchString(span):
			if !n.identifiers[span] && !protocolWords[span] {
				wrong = append(wrong, span)
			}
		}
	}
	slices.Sort(wrong)
	return slices.Compact(wrong)
}

// lacksMember reports whether the module has types with the name before the dot in Type.Name, in
// any package, but none of them has such a method or field.
func (n *codeNames) lacksMember(span string) bool {
	typeName, _, _ := strings.Cut(span, ".")
	typeFound := false
	for name := range n.declared {
		_, member, _ := strings.Cut(name, ".")
		if member == span {
			return false
		}
		typeFound = typeFound || member == typeName
	}
	return typeFound
}

// protocolWords are words of the wire protocol that look like identifiers of the code when they
// appear in backticks.
var protocolWords = map[string]bool{"oneZone": true, "dueS": true}

// TestPagesNameCode checks that the functions, types, tests and files that the pages name exist in
// the code.
func TestPagesNameCode(t *testing.T) {
	names := parseModule(t)
	pages := []string{"README.md", operationsPage, "docs/design.md", "docs/concurrent-faults.md",
		"docs/dependencies.md", "docs/quota.md", "docs/quota-operations.md", "docs/account.md"}
	for _, name := range pages {
		t.Run(name, func(t *testing.T) {
			for _, wrong := range names.missingNames(readPage(t, name)) {
				t.Errorf("%s names %s, which is not in the code", name, wrong)
			}
		})
	}
}
