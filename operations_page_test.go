package garnethitch

import (
	"slices"
	"strings"
	"testing"
)

// TestOperationsPageLogLines checks that each log line in the first column of the page's table of
// log lines is a string literal in the code. A line that ends with "..." must be the beginning of a
// literal.
func TestOperationsPageLogLines(t *testing.T) {
	names := parseModule(t)
	_, rest, found := strings.Cut(readPage(t, operationsPage), "\n## Logs at info\n")
	if !found {
		t.Fatalf("%s has no section \"Logs at info\"", operationsPage)
	}
	section, _, _ := strings.Cut(rest, "\n## ")
	lines := 0
	for _, row := range tableRow.FindAllStringSubmatch(section, -1) {
		for _, line := range codeSpans(row[1]) {
			lines++
			if !names.hasLiteral(line) {
				t.Errorf("%s names the log line %q, which is not in the code", operationsPage, line)
			}
		}
	}
	if lines < 30 {
		t.Errorf("%d log lines found in the table, want 30 or more", lines)
	}
}

// TestOperationsPageQuestions checks the table in the section "Where do I look when ...", whose
// columns are question, log lines and functions: the log lines must be string literals in the code,
// and the functions must be declared in the files that the table names.
func TestOperationsPageQuestions(t *testing.T) {
	names := parseModule(t)
	_, rest, found := strings.Cut(readPage(t, operationsPage), "\n## Where do I look when ...\n")
	if !found {
		t.Fatalf("%s has no section \"Where do I look when ...\"", operationsPage)
	}
	section, _, _ := strings.Cut(rest, "\n## ")
	questions := 0
	for _, row := range questionRow.FindAllStringSubmatch(section, -1) {
		questions++
		for _, line := range codeSpans(row[1]) {
			isCommand := strings.HasPrefix(line, "garnethitch ") || strings.HasPrefix(line, "GET ")
			if strings.Contains(line, " ") && !isCommand && !names.hasLiteral(line) {
				t.Errorf("%s names the log line %q, which is not in the code", operationsPage, line)
			}
		}
		if len(codeSpans(row[2])) == 0 {
			t.Errorf("%s names no function for %q", operationsPage, row[0])
		}
		for _, wrong := range names.undeclaredInFile(row[2]) {
			t.Errorf("%s: %s", operationsPage, wrong)
		}
	}
	if questions < 10 {
		t.Errorf("%d questions found, want 10 or more", questions)
	}
}

// undeclaredInFile returns the names that a text attributes to a file, as in
// "file.go: package.Name" with both in backticks, but that the file does not declare. A file name
// without a directory means a file at the root, or else one in internal/controller.
func (n *codeNames) undeclaredInFile(text string) (wrong []string) {
	for _, place := range fileWithNames.FindAllStringSubmatch(text, -1) {
		fileName := place[1]
		if !strings.Contains(fileName, "/") && !n.files["./"+fileName] {
			fileName = "internal/controller/" + fileName
		}
		for _, name := range codeSpans(place[2]) {
			if !slices.Contains(n.declared[name], fileName) {
				wrong = append(wrong, name+" is not declared in "+fileName)
			}
		}
	}
	return wrong
}

// hasLiteral reports whether a text is a string literal in the code. For a text that ends with
// "..." it reports whether a literal begins with the part before.
func (n *codeNames) hasLiteral(text string) bool {
	start, shortened := strings.CutSuffix(text, "...")
	if !shortened {
		return n.literals[text]
	}
	for candidate := range n.literals {
		if strings.HasPrefix(candidate, strings.TrimSpace(start)) {
			return true
		}
	}
	return false
}
