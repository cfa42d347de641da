package main

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/token"
)

// function is a function of the source with its position and size.
type function struct {
	position token.Position
	name     string
	lines    int
	branches int // cyclomatic complexity
}

func (f function) String() string {
	return fmt.Sprintf("%s:%d: %s: %d lines, %d branches", f.position.Filename, f.position.Line, f.name, f.lines, f.branches)
}

// compareFunctions orders functions by lines and then branches, both descending, and then by
// position.
func compareFunctions(a, b function) int {
	return cmp.Or(cmp.Compare(b.lines, a.lines), cmp.Compare(b.branches, a.branches), comparePositions(a.position, b.position))
}

// functionsOver returns the functions outside test files that exceed the given number of lines or
// branches.
func functionsOver(p sourcePackage, lines, branches int) (found []function) {
	for _, file := range p.files {
		if isTestFile(p.paths[file]) {
			continue
		}
		for _, declaration := range file.Decls {
			d, ok := declaration.(*ast.FuncDecl)
			if !ok {
				continue
			}
			if f := measureFunction(p.fset, d); f.lines > lines || f.branches > branches {
				found = append(found, f)
			}
		}
	}
	return found
}

// measureFunction returns the size of a declared function.
func measureFunction(fset *token.FileSet, d *ast.FuncDecl) function {
	start := fset.Position(d.Pos())
	end := fset.Position(d.End())
	return function{
		position: start,
		name:     d.Name.Name,
		lines:    end.Line - start.Line + 1,
		branches: countBranches(d),
	}
}

// countBranches returns the cyclomatic complexity of a function, including the function literals
// in it: one plus the number of conditions, loops, cases and logical operators.
func countBranches(d *ast.FuncDecl) int {
	branches := 1
	ast.Inspect(d, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.IfStmt, *ast.ForStmt, *ast.RangeStmt:
			branches++
		case *ast.CaseClause:
			if node.List != nil { // not the default
				branches++
			}
		case *ast.CommClause:
			if node.Comm != nil { // not the default
				branches++
			}
		case *ast.BinaryExpr:
			if node.Op == token.LAND || node.Op == token.LOR {
				branches++
			}
		}
		return true
	})
	return branches
}
