package main

import (
	"go/ast"
	"go/types"
	"slices"
	"strings"
)

// ignorableErrorPrefixes are prefixes of the full names of functions whose error may be ignored:
// the error is documented to be always nil, the function prints text for people, or it closes
// a connection that is no longer used.
var ignorableErrorPrefixes = []string{
	"fmt.Print",
	"fmt.Fprint",
	"(*bytes.Buffer).Write",
	"(*strings.Builder).Write",
	"(net.Conn).Close",
	"(net.Listener).Close",
}

// cleanupNames are names of functions whose error may be ignored in a deferred call: they close
// files that were only read, or remove temporary files.
var cleanupNames = []string{"Close", "RemoveAll"}

// droppedErrors finds calls whose error result is not used. An error that is assigned to _ is
// ignored on purpose and not reported.
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

// returnsError reports whether one of the results of a call has type error.
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

// calleeName returns the full name of the called function or method. If the callee has no name,
// it returns the source text of the expression.
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
