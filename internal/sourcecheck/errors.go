package main

import (
	"go/ast"
	"go/types"
	"slices"
	"strings"
)

// ignorableErrorPrefixes are prefixes of the full names of functions whose error may be ignored:
// their doc says that it is always nil, they print for a person, or they end a connection
// that is not used any more.
var ignorableErrorPrefixes = []string{
	"fmt.Print",
	"fmt.Fprint",
	"(*bytes.Buffer).Write",
	"(*strings.Builder).Write",
	"(net.Conn).Close",
	"(net.Listener).Close",
}

// cleanupNames are functions whose error may be ignored where the call is deferred: they
// release what was only read, or temporary files.
var cleanupNames = []string{"Close", "RemoveAll"}

// droppedErrors finds calls whose error is dropped without a trace. One that is assigned to _
// is dropped on purpose.
func droppedErrors(p sourcePackage) (findings []finding) {
	report := func(call *ast.CallExpr) {
		if name := calleeName(p.info, call); returnsError(p.info, call) && !isIgnorable(name) {
			findings = append(findings, finding{p.fset.Position(call.Pos()), "error of " + name + " is dropped"})
		}
	}
	for _, file := range p.files {
		ast.Inspect(file, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.ExprStmt:
				if call, ok := ast.Unparen(node.X).(*ast.CallExpr); ok {
					report(call)
				}
			case *ast.GoStmt:
				report(node.Call)
			case *ast.DeferStmt:
				if !isCleanup(node.Call) {
					report(node.Call)
				}
			}
			return true
		})
	}
	return findings
}

// returnsError reports whether one of a call's results is an error.
func returnsError(info *types.Info, call *ast.CallExpr) bool {
	errorType := types.Universe.Lookup("error").Type()
	switch result := info.Types[call].Type.(type) {
	case nil:
		return false
	case *types.Tuple:
		for variable := range result.Variables() {
			if types.Identical(variable.Type(), errorType) {
				return true
			}
		}
		return false
	default:
		return types.Identical(result, errorType)
	}
}

// calleeName returns the full name of a called function or method, or its expression.
func calleeName(info *types.Info, call *ast.CallExpr) string {
	called := ast.Unparen(call.Fun)
	identifier, _ := called.(*ast.Ident)
	if selector, ok := called.(*ast.SelectorExpr); ok {
		identifier = selector.Sel
	}
	if identifier != nil {
		if f, ok := info.Uses[identifier].(*types.Func); ok {
			return f.FullName()
		}
	}
	return types.ExprString(call.Fun)
}

func isIgnorable(name string) bool {
	return slices.ContainsFunc(ignorableErrorPrefixes, func(prefix string) bool { return strings.HasPrefix(name, prefix) })
}

func isCleanup(call *ast.CallExpr) bool {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	return ok && slices.Contains(cleanupNames, selector.Sel.Name)
}
