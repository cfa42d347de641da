// Command sourcecheck reports problems in the repository's source that the linter does not
// report: dropped errors, and exported items without a doc comment. It also lists functions
// that are long or have many branches.
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

// errFindings is returned when the check was completed and has found problems.
var errFindings = errors.New("problems found")

// finding is a problem at a position in the source.
type finding struct {
	position token.Position
	text     string
}

func (f finding) String() string {
	return fmt.Sprintf("%s:%d: %s", f.position.Filename, f.position.Line, f.text)
}

// comparePositions orders positions by file, line and column.
func comparePositions(a, b token.Position) int {
	return cmp.Or(cmp.Compare(a.Filename, b.Filename), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
}

type checkCommand struct {
	Packages []string `arg:"" optional:"" default:"./..." help:"Patterns of packages, as go list takes them."`
}

// Run prints the findings, ordered by position. It returns errFindings if there are any.
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
	// A package and its test variant share files, so findings occur twice.
	slices.SortFunc(findings, func(a, b finding) int {
		return cmp.Or(comparePositions(a.position, b.position), cmp.Compare(a.text, b.text))
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

// Run prints the functions that exceed a limit, the longest first. Test files are skipped.
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
	fmt.Printf("%d functions with more than %d lines or %d branches\n", len(found), c.Lines, c.Branches)
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
