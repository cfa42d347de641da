package garnethitch

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
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
