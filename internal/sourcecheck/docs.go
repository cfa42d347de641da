package main

import (
	"go/ast"
	"go/token"
	"slices"
)

// standardMethods are methods of standard library interfaces. They need no doc comment, since
// the interface documents them.
var standardMethods = []string{"Error", "String", "Unwrap", "Len", "Less", "Swap", "Push", "Pop"}

// missingDocs finds packages, and exported items outside test files, without a doc comment.
// It does not check that a comment begins with the name; the linter does.
func missingDocs(p sourcePackage) (findings []finding) {
	packageHasDoc := false
	for _, file := range p.files {
		packageHasDoc = packageHasDoc || file.Doc != nil
		if !isTestFile(p.paths[file]) {
			findings = append(findings, missingDocsOf(p, file)...)
		}
	}
	if !packageHasDoc && !isTestFile(p.paths[p.files[0]]) {
		findings = append(findings, finding{p.fset.Position(p.files[0].Name.Pos()), "package " + p.name + " has no doc comment"})
	}
	return findings
}

// missingDocsOf returns the findings of one file.
func missingDocsOf(p sourcePackage, file *ast.File) (findings []finding) {
	for _, declaration := range file.Decls {
		var undocumented []*ast.Ident
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			undocumented = undocumentedFunction(d)
		case *ast.GenDecl:
			undocumented = undocumentedSpecs(d)
		}
		for _, name := range undocumented {
			findings = append(findings, finding{p.fset.Position(name.Pos()), name.Name + " is exported and has no doc comment"})
		}
	}
	return findings
}

func undocumentedFunction(d *ast.FuncDecl) []*ast.Ident {
	if d.Doc != nil || !d.Name.IsExported() {
		return nil
	}
	if d.Recv != nil && (!receiverIsExported(d.Recv) || slices.Contains(standardMethods, d.Name.Name)) {
		return nil
	}
	return []*ast.Ident{d.Name}
}

// receiverIsExported reports whether the type of a method's receiver is exported.
func receiverIsExported(receiver *ast.FieldList) bool {
	expr := receiver.List[0].Type
	if pointer, ok := expr.(*ast.StarExpr); ok {
		expr = pointer.X
	}
	switch generic := expr.(type) {
	case *ast.IndexExpr:
		expr = generic.X
	case *ast.IndexListExpr:
		expr = generic.X
	}
	name, ok := expr.(*ast.Ident)
	return ok && name.IsExported()
}

// undocumentedSpecs returns the exported names in a declaration that have no doc comment.
// Constants and variables are also documented by the comment of their group or by a comment at
// the end of their line. Types are not.
func undocumentedSpecs(d *ast.GenDecl) (names []*ast.Ident) {
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			ownDoc := s.Doc != nil || d.Doc != nil && d.Lparen == token.NoPos
			if s.Name.IsExported() && !ownDoc {
				names = append(names, s.Name)
			}
		case *ast.ValueSpec:
			if d.Doc != nil || s.Doc != nil || s.Comment != nil {
				continue
			}
			for _, name := range s.Names {
				if name.IsExported() {
					names = append(names, name)
				}
			}
		}
	}
	return names
}
