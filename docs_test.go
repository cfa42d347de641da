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

// codeNames are the names that stand in the code of the module.
type codeNames struct {
	// packages are the imports within the module of each package, by its path below the
	// module's root, tests left out.
	packages map[string]map[string]bool
	// declared are functions, types, constants and variables as package.Name, and methods
	// and fields as package.Type.Name, with the files that declare them, tests left out.
	declared map[string][]string
	// identifiers are all identifiers, those of tests included.
	identifiers map[string]bool
	// literals are all string literals outside tests.
	literals map[string]bool
	// files are the names of all Go files without their directories, those at the root also
	// with "./" before them.
	files map[string]bool
}

// parseModule reads all Go files of the module. It holds no other module's code, tools aside.
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

// skippedDirectory reports whether a directory holds nothing of the module's own code.
func skippedDirectory(name, base string) bool {
	return base == "testdata" || base == "target" || name != "." && strings.HasPrefix(base, ".")
}

// addFile adds the names of one file.
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

// declare adds a name that a file declares.
func (n *codeNames) declare(fileName, name string) {
	n.declared[name] = append(n.declared[name], fileName)
}

// addImports adds the imports of a file of a package to those of the package.
func (n *codeNames) addImports(packagePath string, file *ast.File) {
	if n.packages[packagePath] == nil {
		n.packages[packagePath] = map[string]bool{}
	}
	for _, spec := range file.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		if below, ok := strings.CutPrefix(imported, moduleName+"/"); ok {
			n.packages[packagePath][below] = true
		} else if imported == moduleName {
			n.packages[packagePath]["."] = true
		}
	}
}

// addSpec adds the names that a type, constant or variable declaration declares.
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

// receiverPrefix returns the receiver's type of a method with a dot, nothing for a function.
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
	// codeSpan is a text in backticks.
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	// qualifiedName is package.Name or package.Type.Name.
	qualifiedName = regexp.MustCompile(`^[a-z][a-z0-9]*(\.[A-Za-z_]\w*){1,2}$`)
	// typeMember is Type.Name.
	typeMember = regexp.MustCompile(`^[A-Z]\w*\.[A-Za-z_]\w*$`)
	// mixedCaseName is an identifier that only code can mean: it has both cases inside.
	mixedCaseName = regexp.MustCompile(`^[A-Za-z]*[a-z][A-Z][A-Za-z]*$`)
	// goFile is the name of a Go file, perhaps with its directory.
	goFile = regexp.MustCompile(`^[\w/]+\.go$`)
	// diagramEdge is a line of the page's diagram: a package and those that it imports.
	diagramEdge = regexp.MustCompile(`(?m)^ {4}([\w/]+) +-> (.+)$`)
	// tableRow is a row of a table: its first column.
	tableRow = regexp.MustCompile(`(?m)^\| (.+?) \|`)
	// questionRow is a row of the table of questions: its second and third columns.
	questionRow = regexp.MustCompile(`(?m)^\| (?:an? |the |old |users |heartbeats |machines )[^|]+ \| ([^|]+) \| ([^|]+) \|$`)
	// fileWithNames is the name of a file with the names that it is said to declare.
	fileWithNames = regexp.MustCompile("`([\\w/]+\\.go)`(?: \\(at the root\\))?: ((?:`[\\w.]+`(?:, )?)+)")
	// testName is the name of a test.
	testName = regexp.MustCompile(`^(Test|Benchmark|Fuzz)\w+$`)
)

// codeSpans returns the texts in backticks on a page.
func codeSpans(page string) (spans []string) {
	for _, match := range codeSpan.FindAllStringSubmatch(page, -1) {
		spans = append(spans, match[1])
	}
	return spans
}

// readPage returns the text of a page.
func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(bytes.ReplaceAll(text, []byte("\r"), nil))
}

// TestArchitecturePage checks that each package, function and type that the page names in backticks
// stands in the code, its diagram shows imports that are there, and all of those, and it
// leaves out no package.
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
			t.Errorf("%s: the diagram leaves out %s", architecturePage, name)
		} else if !maps.Equal(diagram[name], inCode[name]) {
			t.Errorf("%s: %s imports %q by the diagram, %q by the code", architecturePage, name,
				slices.Sorted(maps.Keys(diagram[name])), slices.Sorted(maps.Keys(inCode[name])))
		}
	}
	for name := range diagram {
		if _, ok := inCode[name]; !ok {
			t.Errorf("%s: the diagram has %s, which is no package", architecturePage, name)
		}
	}
}

// diagramPackages returns the packages that the diagram is to show, with their imports, under
// the names that it has for them. The package micros is left out: nearly all import it.
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
// backticks and that are not in the code, foreignWords left out.
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

// lacksMember reports whether the first part of Type.Name is a type of the module, of whatever
// package, none of which has such a method or field.
func (n *codeNames) lacksMember(span string) bool {
	typeName, _, _ := strings.Cut(span, ".")
	typeFound := false
	for name := range n.declared {
		_, below, _ := strings.Cut(name, ".")
		if below == span {
			return false
		}
		typeFound = typeFound || below == typeName
	}
	return typeFound
}

// protocolWords are words in backticks that look like identifiers of ours and are the
// protocol's.
var protocolWords = map[string]bool{"oneZone": true, "dueS": true}

// TestPagesNameCode checks that functions, types, tests and files that the pages name stand in the
// code.
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

// TestOperationsPageLogLines checks that each log line that the first column of the page's table of
// lines names stands in the code as it is named, or begins so where the page ends it with "...".
func TestOperationsPageLogLines(t *testing.T) {
	names := parseModule(t)
	_, rest, found := strings.Cut(readPage(t, operationsPage), "\n## Logs at info\n")
	if !found {
		t.Fatalf("%s has no section on logs", operationsPage)
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

// TestOperationsPageQuestions checks that the lines that "Where do I look when ..." sends its
// reader to stand in the code, in the order of the page's columns: question, lines, functions.
func TestOperationsPageQuestions(t *testing.T) {
	names := parseModule(t)
	_, rest, found := strings.Cut(readPage(t, operationsPage), "\n## Where do I look when ...\n")
	if !found {
		t.Fatalf("%s does not say where to look", operationsPage)
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

// undeclaredInFile returns the names that a text gives after a file, as in "file.go: package.Name"
// with both in backticks, and that the file does not declare. A file without a directory is one of internal/controller.
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

// hasLiteral reports whether a text stands in the code, or one that begins with it if it ends
// with "...".
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
