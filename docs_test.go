package garnethitch

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	moduleName       = "garnethitch"
	architecturePage = "docs/architecture.md"
	operationsPage   = "docs/operations.md"
)

// codeNames holds the names and string literals that occur in the code of the module.
type codeNames struct {
	// packages maps the path of each package, relative to the module's root, to the packages of
	// the module that it imports. Tests are excluded.
	packages map[string]map[string]bool
	// declared maps functions, types, constants and variables as package.Name, and methods and
	// fields as package.Type.Name, to the files that declare them. Tests are excluded.
	declared map[string][]string
	// identifiers holds all identifiers, including those in tests.
	identifiers map[string]bool
	// literals holds the values of all string literals outside tests.
	literals map[string]bool
	// files holds the names of all Go files without their directories. Files at the root are
	// also held with the prefix "./".
	files map[string]bool
}

// parseModule parses all Go files below the module's root, including those in tools.
func parseModule(t *testing.T) *codeNames {
	t.Helper()
	names := &codeNames{
		packages:    map[string]map[string]bool{},
		declared:    map[string][]string{},
		identifiers: map[string]bool{},
		literals:    map[string]bool{},
		files:       map[string]bool{},
	}
	fset := token.NewFileSet()
	err := filepath.WalkDir(".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if skippedDirectory(name, entry.Name()) {
				return filepath.SkipDir
			}
			return nil
		}
		if path.Ext(name) != ".go" {
			return nil
		}
		file, err := parser.ParseFile(fset, name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		names.addFile(filepath.ToSlash(name), file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// skippedDirectory reports whether a directory contains none of the module's code.
func skippedDirectory(name, base string) bool {
	return base == "testdata" || base == "target" || name != "." && strings.HasPrefix(base, ".")
}

// addFile adds the names and literals in a file.
func (n *codeNames) addFile(name string, file *ast.File) {
	n.files[path.Base(name)] = true
	if path.Dir(name) == "." {
		n.files["./"+name] = true
	}
	isTest := strings.HasSuffix(name, "_test.go")
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.Ident:
			n.identifiers[node.Name] = true
		case *ast.BasicLit:
			if text, err := strconv.Unquote(node.Value); err == nil && node.Kind == token.STRING && !isTest {
				n.literals[text] = true
			}
		}
		return true
	})
	if isTest {
		return
	}
	n.addImports(path.Dir(name), file)
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			n.declare(name, file.Name.Name+"."+receiverPrefix(declaration)+declaration.Name.Name)
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				n.addSpec(name, file.Name.Name, spec)
			}
		}
	}
}

// declare records that a file declares a name.
func (n *codeNames) declare(fileName, name string) {
	n.declared[name] = append(n.declared[name], fileName)
}

// addImports adds the module's packages that a file imports to the imports of its package.
func (n *codeNames) addImports(packagePath string, file *ast.File) {
	if n.packages[packagePath] == nil {
		n.packages[packagePath] = map[string]bool{}
	}
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		if relative, ok := strings.CutPrefix(imported, moduleName+"/"); ok {
			n.packages[packagePath][relative] = true
		} else if imported == moduleName {
			n.packages[packagePath]["."] = true
		}
	}
}

// addSpec records the names that a type, constant or variable specification declares.
func (n *codeNames) addSpec(fileName, packageName string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			n.declare(fileName, packageName+"."+name.Name)
		}
	case *ast.TypeSpec:
		typeName := packageName + "." + spec.Name.Name
		n.declare(fileName, typeName)
		if structType, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range structType.Fields.List {
				for _, name := range field.Names {
					n.declare(fileName, typeName+"."+name.Name)
				}
			}
		}
	}
}

// receiverPrefix returns the name of a method's receiver type followed by a dot, or "" for a
// function.
func receiverPrefix(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

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

// TestOperationsPageLogLines checks that each log line in the first column of the page's table of
// log lines is a string literal in the code. A line that ends with "..." must be the beginning of a
// literal.
func TestOperationsPageLogLines(t *testing.T) {
	names := parseModule(t)
	_, rest, found := strings.Cut(readPage(t, operationsPage), "\n## Logs at info\n")
	if !found {
		t.Fatalf("%s has no section \"Logs at info\"", operationsPage)
	}
	section, _, _ := strings.Cut(rest, "\n## ")
	lines := 0
	for _, row := range tableRow.FindAllStringSubmatch(section, -1) {
		for _, line := range codeSpans(row[1]) {
			lines++
			if !names.hasLiteral(line) {
				t.Errorf("%s names the log line %q, which is not in the code", operationsPage, line)
			}
		}
	}
	if lines < 30 {
		t.Errorf("%d log lines found in the table, want 30 or more", lines)
	}
}

// TestOperationsPageQuestions checks the table in the section "Where do I look when ...", whose
// columns are question, log lines and functions: the log lines must be string literals in the code,
// and the functions must be declared in the files that the table names.
func TestOperationsPageQuestions(t *testing.T) {
	names := parseModule(t)
	_, rest, found := strings.Cut(readPage(t, operationsPage), "\n## Where do I look when ...\n")
	if !found {
		t.Fatalf("%s has no section \"Where do I look when ...\"", operationsPage)
	}
	section, _, _ := strings.Cut(rest, "\n## ")
	questions := 0
	for _, row := range questionRow.FindAllStringSubmatch(section, -1) {
		questions++
		for _, line := range codeSpans(row[1]) {
			isCommand := strings.HasPrefix(line, "garnethitch ") || strings.HasPrefix(line, "GET ")
			if strings.Contains(line, " ") && !isCommand && !names.hasLiteral(line) {
				t.Errorf("%s names the log line %q, which is not in the code", operationsPage, line)
			}
		}
		if len(codeSpans(row[2])) == 0 {
			t.Errorf("%s names no function for %q", operationsPage, row[0])
		}
		for _, wrong := range names.undeclaredInFile(row[2]) {
			t.Errorf("%s: %s", operationsPage, wrong)
		}
	}
	if questions < 10 {
		t.Errorf("%d questions found, want 10 or more", questions)
	}
}

// undeclaredInFile returns the names that a text attributes to a file, as in
// "file.go: package.Name" with both in backticks, but that the file does not declare. A file name
// without a directory means a file at the root, or else one in internal/controller.
func (n *codeNames) undeclaredInFile(text string) (wrong []string) {
	for _, place := range fileWithNames.FindAllStringSubmatch(text, -1) {
		fileName := place[1]
		if !strings.Contains(fileName, "/") && !n.files["./"+fileName] {
			fileName = "internal/controller/" + fileName
		}
		for _, name := range codeSpans(place[2]) {
			if !slices.Contains(n.declared[name], fileName) {
				wrong = append(wrong, name+" is not declared in "+fileName)
			}
		}
	}
	return wrong
}

// hasLiteral reports whether a text is a string literal in the code. For a text that ends with
// "..." it reports whether a literal begins with the part before.
func (n *codeNames) hasLiteral(text string) bool {
	start, shortened := strings.CutSuffix(text, "...")
	if !shortened {
		return n.literals[text]
	}
	for candidate := range n.literals {
		if strings.HasPrefix(candidate, strings.TrimSpace(start)) {
			return true
		}
	}
	return false
}
