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

// sourcePackage is a package of the repository, parsed and with types.
type sourcePackage struct {
	name   string
	fset   *token.FileSet
	files  []*ast.File
	source map[*ast.File]string // paths of the files, from the working directory
	info   *types.Info
}

// listedPackage is what `go list` says of a package.
type listedPackage struct {
	Dir        string
	ImportPath string
	Name       string
	Export     string // file of export data
	GoFiles    []string
	ImportMap  map[string]string
	DepOnly    bool
}

// testMainSuffix ends the import path of the generated program that runs a package's tests.
const testMainSuffix = ".test"

// loadPackages loads the packages that match the patterns, and their variants with test files.
func loadPackages(patterns []string) ([]sourcePackage, error) {
	listed, err := listPackages(patterns)
	if err != nil {
		return nil, err
	}
	exports := map[string]string{}
	for _, l := range listed {
		exports[l.ImportPath] = l.Export
	}
	var packages []sourcePackage
	for _, l := range listed {
		if l.DepOnly || strings.HasSuffix(l.ImportPath, testMainSuffix) {
			continue
		}
		p, err := checkTypes(l, exports)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", l.ImportPath, err)
		}
		packages = append(packages, p)
	}
	return packages, nil
}

// listPackages runs `go list`, which also builds the export data.
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

// checkTypes parses a package and finds the types of its expressions.
func checkTypes(l listedPackage, exports map[string]string) (sourcePackage, error) {
	paths := make([]string, len(l.GoFiles))
	for i, file := range l.GoFiles {
		paths[i] = relativePath(filepath.Join(l.Dir, file))
	}
	p := sourcePackage{name: l.Name, fset: token.NewFileSet(), source: map[*ast.File]string{}}
	for _, path := range paths {
		file, err := parser.ParseFile(p.fset, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return sourcePackage{}, err
		}
		p.files = append(p.files, file)
		p.source[file] = path
	}
	openExport := func(path string) (io.ReadCloser, error) {
		if mapped, ok := l.ImportMap[path]; ok {
			path = mapped
		}
		return os.Open(exports[path])
	}
	err := p.resolveTypes(l.ImportPath, importer.ForCompiler(p.fset, "gc", openExport))
	return p, err
}

func (p *sourcePackage) resolveTypes(importPath string, dependencies types.Importer) error {
	p.info = &types.Info{
		Types: map[ast.Expr]types.TypeAndValue{},
		Uses:  map[*ast.Ident]types.Object{},
	}
	conf := types.Config{Importer: dependencies}
	_, err := conf.Check(importPath, p.fset, p.files, p.info)
	return err
}

// relativePath returns a path from the working directory, or the path itself if there is none.
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
