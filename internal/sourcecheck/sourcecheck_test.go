package main

import (
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"slices"
	"strings"
	"sync"
	"testing"
)

// standardLibraryImporter imports packages of the standard library from source. It is shared by
// the tests so that each package is type-checked only once.
var standardLibraryImporter = sync.OnceValue(func() types.Importer {
	return importer.ForCompiler(token.NewFileSet(), "source", nil)
})

// parsePackage returns a type-checked package that consists of one file with the given text.
func parsePackage(t *testing.T, path, text string) sourcePackage {
	t.Helper()
	p := sourcePackage{name: "sample", fset: token.NewFileSet(), paths: map[*ast.File]string{}}
	file, err := parser.ParseFile(p.fset, path, text, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	p.files = []*ast.File{file}
	p.paths[file] = path
	if err := p.resolveTypes("sample", standardLibraryImporter()); err != nil {
		t.Fatal(err)
	}
	return p
}

// textsOf returns the texts of the findings.
func textsOf(findings []finding) (texts []string) {
	for _, f := range findings {
		texts = append(texts, f.text)
	}
	return texts
}

// TestDroppedErrors checks which calls with an error result are reported.
func TestDroppedErrors(t *testing.T) {
	const declarations = `package sample

import "strings"

type file struct{}

func (file) Close() error { return nil }
func one() error          { return nil }
func two() (int, error)   { return 0, nil }
func none() int           { return 0 }
func nothing()            {}

var builder strings.Builder
`
	for _, tc := range []struct {
		name, body, want string
	}{
		{"one result", "one()", "error of sample.one is dropped"},
		{"second result", "two()", "error of sample.two is dropped"},
		{"method", "file{}.Close()", "error of (sample.file).Close is dropped"},
		{"function literal", "func() error { return nil }()", "error of (func() error literal) is dropped"},
		{"goroutine", "go one()", "error of sample.one is dropped"},
		{"deferred", "defer one()", "error of sample.one is dropped"},
		{"in parentheses", "(one())", "error of sample.one is dropped"},
		{"within a literal", "func() { one() }()", "error of sample.one is dropped"},
		{"deferred Close", "defer file{}.Close()", ""},
		{"assigned to _", "_ = one()", ""},
		{"checked", "if err := one(); err != nil { return }", ""},
		{"no error", "none()", ""},
		{"no result", "nothing()", ""},
		{"always nil", `builder.WriteString("x")`, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := parsePackage(t, "sample.go", declarations+"func f() {\n"+tc.body+"\n}\n")
			got := strings.Join(textsOf(droppedErrors(p)), "; ")
			if got != tc.want {
				t.Errorf("found %q, want %q", got, tc.want)
			}
		})
	}
}

// TestMissingDocs checks which items without a doc comment are reported.
func TestMissingDocs(t *testing.T) {
	for _, tc := range []struct {
		name, path, text, want string // want: names of the reported items
	}{
		{"all documented", "a.go", "// Package sample.\npackage sample\n\n// F does.\nfunc F() {}\n", ""},
		{"package", "a.go", "package sample\n", "package"},
		{"function", "a.go", "// Package sample.\npackage sample\n\nfunc F() {}\n", "F"},
		{"unexported function", "a.go", "// Package sample.\npackage sample\n\nfunc f() {}\n", ""},
		{"type", "a.go", "// Package sample.\npackage sample\n\ntype T struct{}\n", "T"},
		{"type in a documented group", "a.go", "// Package sample.\npackage sample\n\n// Types.\ntype (\n\tT struct{}\n)\n", "T"},
		{"method", "a.go", "// Package sample.\npackage sample\n\n// T is.\ntype T[K any] struct{}\n\nfunc (*T[K]) M() {}\n", "M"},
		{"method of an unexported type", "a.go", "// Package sample.\npackage sample\n\ntype t struct{}\n\nfunc (t) M() {}\n", ""},
		{"String", "a.go", "// Package sample.\npackage sample\n\n// T is.\ntype T struct{}\n\nfunc (T) String() string { return \"\" }\n", ""},
		{"constant", "a.go", "// Package sample.\npackage sample\n\nconst C = 1\n", "C"},
		{"constants of a documented group", "a.go", "// Package sample.\npackage sample\n\n// Constants.\nconst (\n\tC = 1\n\tD = 2\n)\n", ""},
		{"constant with a comment at the end of the line", "a.go", "// Package sample.\npackage sample\n\nconst (\n\tC = 1 // one\n\tD = 2\n)\n", "D"},
		{"variable", "a.go", "// Package sample.\npackage sample\n\nvar V int\n", "V"},
		{"test file", "a_test.go", "package sample\n\nfunc F() {}\n", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var names []string
			for _, text := range textsOf(missingDocs(parsePackage(t, tc.path, tc.text))) {
				name, _, _ := strings.Cut(text, " ")
				names = append(names, name)
			}
			if got := strings.Join(names, " "); got != tc.want {
				t.Errorf("reported as undocumented: %q, want %q", got, tc.want)
			}
		})
	}
}

// TestMeasureFunctions checks that lines and branches are counted, that only functions that exceed
// a limit are listed, and that test files are skipped.
func TestMeasureFunctions(t *testing.T) {
	const text = `package sample

func straight() {
	println()
}

func branched(a, b bool, c chan int) {
	if a && b || !a {
		println()
	}
	for range 3 {
		switch {
		case a:
		default:
		}
	}
	select {
	case <-c:
	default:
	}
}
`
	p := parsePackage(t, "a.go", text)
	var got []function
	for _, f := range functionsOver(p, 0, 0) {
		f.position = token.Position{}
		got = append(got, f)
	}
	want := []function{{name: "straight", lines: 3, branches: 1}, {name: "branched", lines: 15, branches: 7}}
	if !slices.Equal(got, want) {
		t.Errorf("measured %v, want %v", got, want)
	}
	if got := functionsOver(p, 15, 7); len(got) != 0 {
		t.Errorf("functions that do not exceed the limits are listed: %v", got)
	}
	if got := functionsOver(parsePackage(t, "a_test.go", text), 0, 0); len(got) != 0 {
		t.Errorf("functions of a test file are listed: %v", got)
	}
}

// TestLoadPackages checks that test files are loaded together with the files of a package.
func TestLoadPackages(t *testing.T) {
	packages, err := loadPackages([]string{"."})
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, p := range packages {
		for _, file := range p.files {
			paths = append(paths, p.paths[file])
		}
	}
	for _, want := range []string{"main.go", "sourcecheck_test.go"} {
		if !slices.Contains(paths, want) {
			t.Errorf("%s is not among %v", want, paths)
		}
	}
}
