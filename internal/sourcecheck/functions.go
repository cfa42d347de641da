package main

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/token"
)

// function is a function with its size.
type function struct {
	at       token.Position
	name     string
	lines    int
	branches int // cyclomatic complexity
}

func (f function) String() string {
	return fmt.Sprintf("%s:%d: %s: %d lines, %d branches", f.at.Filename, f.at.Line, f.name, f.lines, f.branches)
}

// compareFunctions puts the longest first.
func compareFunctions(a, b function) int {
	return cmp.Or(cmp.Compare(b.lines, a.lines), cmp.Compare(b.branches, a.branches), comparePositions(a.at, b.at))
}

// functionsOver returns the functions outside test files that have more lines or branches.
func functionsOver(p sourcePackage, lines, branches int) (found []function) {
	for _, file := range p.files {
		if isTestFile(p.source[file]) {
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

func measureFunction(fset *token.FileSet, d *ast.FuncDecl) function {
	start := fset.Position(d.Pos())
	end := fset.Position(d.End())
	return function{
		at:       start,
		name:     d.Name.Name,
		lines:    end.Line - start.Line + 1,
		branches: countBranches(d),
	}
}

// countBranches returns the cyclomatic complexity of a function, with that of the function
// literals in it: one, and one more for each condition, loop, case and logical operator.
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
