// Command sourcecheck checks the repository's source for what the linter passes over: errors
// that are dropped, and exported items without a doc comment. It also lists functions that
// are long or have many branches.
package main

import (
	"cmp"
	"errors"
	"fmt"
	"go/token"
	"os"
	"slices"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Check     checkCommand     `cmd:"" help:"Fail if an error is dropped or an exported item has no doc comment."`
	Functions functionsCommand `cmd:"" help:"List functions that are long or have many branches."`
}

// errFindings says that the source has been checked and is not good.
var errFindings = errors.New("the source has findings")

// finding is what is wrong at a place.
type finding struct {
	at   token.Position
	text string
}

func (f finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.at.Filename, f.at.Line, f.text)
}

func comparePositions(a, b token.Position) int {
	return cmp.Or(cmp.Compare(a.Filename, b.Filename), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
}

type checkCommand struct {
	Packages []string `arg:"" optional:"" default:"./..." help:"Patterns of packages, as go list takes them."`
}

// Run prints the findings.
func (c *checkCommand) Run() error {
	packages, err := loadPackages(c.Packages)
	if err != nil {
		return err
	}
	var findings []finding
	for _, p := range packages {
		findings = append(findings, droppedErrors(p)...)
		findings = append(findings, missingDocs(p)...)
	}
	// A package and its variant for tests have files in common.
	slices.SortFunc(findings, func(a, b finding) int {
		return cmp.Or(comparePositions(a.at, b.at), cmp.Compare(a.text, b.text))
	})
	findings = slices.Compact(findings)
	for _, f := range findings {
		fmt.Println(f)
	}
	if len(findings) > 0 {
		return fmt.Errorf("%w: %d", errFindings, len(findings))
	}
	return nil
}

type functionsCommand struct {
	Lines    int      `default:"60" help:"List functions of more lines."`
	Branches int      `default:"15" help:"List functions of more branches (cyclomatic complexity)."`
	Packages []string `arg:"" optional:"" default:"./..." help:"Patterns of packages, as go list takes them."`
}

// Run prints the functions, the longest first. Those of test files are left out.
func (c *functionsCommand) Run() error {
	packages, err := loadPackages(c.Packages)
	if err != nil {
		return err
	}
	var found []function
	for _, p := range packages {
		found = append(found, functionsOver(p, c.Lines, c.Branches)...)
	}
	slices.SortFunc(found, compareFunctions)
	found = slices.Compact(found)
	for _, f := range found {
		fmt.Println(f)
	}
	fmt.Printf("%d functions of more than %d lines or %d branches\n", len(found), c.Lines, c.Branches)
	return nil
}

func main() {
	var args arguments
	ctx := kong.Parse(&args, kong.Name("sourcecheck"))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "sourcecheck:", err)
		os.Exit(1)
	}
}
