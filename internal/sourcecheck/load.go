package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// sourcePackage is a parsed and type-checked package of the repository.
type sourcePackage struct {
	name  string
	fset  *token.FileSet
	files []*ast.File
	paths map[*ast.File]string // path of each file, relative to the working directory
	info  *types.Info
}

// listedPackage is the information about a package in the JSON output of `go list`.
type listedPackage struct {
	Dir        string
	ImportPath string
	Name       string
	Export     string // path of the export data file
	GoFiles    []string
	ImportMap  map[string]string
	DepOnly    bool
}

// testMainSuffix is the suffix of the import path of the generated main package that runs a
// package's tests.
const testMainSuffix = ".test"

// loadPackages loads the packages that match the patterns and their test variants, which include
// the test files.
func loadPackages(patterns []string) ([]sourcePackage, error) {
	listed, err := listPackages(patterns)
	if err != nil {
		return nil, err
	}
	exportFiles := map[string]string{}
	for _, l := range listed {
		exportFiles[l.ImportPath] = l.Export
	}
	var packages []sourcePackage
	for _, l := range listed {
		if l.DepOnly || strings.HasSuffix(l.ImportPath, testMainSuffix) {
			continue
		}
		p, err := checkTypes(l, exportFiles)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", l.ImportPath, err)
		}
		packages = append(packages, p)
	}
	return packages, nil
}

// listPackages runs `go list` for the patterns, with dependencies and test variants. This also
// builds the export data.
func listPackages(patterns []string) ([]listedPackage, error) {
	args := []string{"list", "-deps", "-test", "-export", "-json=Dir,ImportPath,Name,Export,GoFiles,ImportMap,DepOnly", "--"}
	cmd := exec.Command("go", append(args, patterns...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("go list: %w", err)
	}
	var listed []listedPackage
	for dec := json.NewDecoder(bytes.NewReader(out)); ; {
		var l listedPackage
		err := dec.Decode(&l)
		if errors.Is(err, io.EOF) {
			return listed, nil
		}
		if err != nil {
			return nil, fmt.Errorf("go list: %w", err)
		}
		listed = append(listed, l)
	}
}

// checkTypes parses and type-checks a package. exportFiles maps import paths to export data files.
func checkTypes(l listedPackage, exportFiles map[string]string) (sourcePackage, error) {
	paths := make([]string, len(l.GoFiles))
	for i, file := range l.GoFiles {
		paths[i] = relativePath(filepath.Join(l.Dir, file))
	}
	p := sourcePackage{name: l.Name, fset: token.NewFileSet(), paths: map[*ast.File]string{}}
	for _, path := range paths {
		file, err := parser.ParseFile(p.fset, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return sourcePackage{}, err
		}
		p.files = append(p.files, file)
		p.paths[file] = path
	}
	openExport := func(path string) (io.ReadCloser, error) {
		if mapped, ok := l.ImportMap[path]; ok {
			path = mapped
		}
		return os.Open(exportFiles[path])
	}
	err := p.resolveTypes(l.ImportPath, importer.ForCompiler(p.fset, "gc", openExport))
	return p, err
}

// resolveTypes type-checks the parsed files and sets info.
func (p *sourcePackage) resolveTypes(importPath string, dependencies types.Importer) error {
	p.info = &types.Info{
		Types: map[ast.Expr]types.TypeAndValue{},
		Uses:  map[*ast.Ident]types.Object{},
	}
	conf := types.Config{Importer: dependencies}
	_, err := conf.Check(importPath, p.fset, p.files, p.info)
	return err
}

// relativePath returns a path relative to the working directory, or the path unchanged if that is
// not possible.
func relativePath(path string) string {
	wd, err := os.Getwd()
	if err != nil {
		return path
	}
	relative, err := filepath.Rel(wd, path)
	if err != nil {
		return path
	}
	return relative
}

func isTestFile(path string) bool { return strings.HasSuffix(path, "_test.go") }
