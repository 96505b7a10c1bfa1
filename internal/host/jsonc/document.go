package jsonc

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"
)

// Document is a parsed file. It collects the problems that are found while its fields are read.
type Document struct {
	name     string
	data     []byte
	root     hujson.Value
	problems []*Problem
	// rendered is true for a file that a template may have left values out of.
	rendered bool
}

// Parse parses JSON with comments. Problems show name as the name of the file. It returns a *ProblemsError if the syntax is wrong
// or the nesting too deep.
func Parse(name string, data []byte) (*Document, error) {
	return parse(&Document{name: name, data: bytes.Clone(data)})
}

// ParseRendered parses JSON with comments that may be rendered from a template, like Parse. A template leaves nothing where it has no
// value for a placeholder, so a field whose value is an empty text or is missing counts as a field that the file lacks.
func ParseRendered(name string, data []byte) (*Document, error) {
	return parse(&Document{name: name, data: fillMissingValues(data), rendered: true})
}

// parse parses the data of a document.
func parse(d *Document) (*Document, error) {
	if offset, exceeded := findExcessDepth(d.data); exceeded {
		d.addProblem(d.lineAt(offset), "", fmt.Sprintf("more than %d lists and objects stand inside one another", maxDepth))
		return nil, d.Err()
	}
	root, err := hujson.Parse(d.data)
	if err != nil {
		d.addProblem(syntaxLine(err), "", "not JSON with comments: "+err.Error())
		return nil, d.Err()
	}
	d.root = root
	return d, nil
}

// Root returns the object at the top level of the file.
func (d *Document) Root() *Object {
	return (&Field{document: d, value: &d.root, set: true}).Object()
}

// Err returns a *ProblemsError with the problems found so far, nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(d.problems, func(a, b *Problem) int { return cmp.Compare(a.line, b.line) })
	return &ProblemsError{problems: d.problems}
}

func (d *Document) addProblem(line int, field, detail string) {
	d.problems = append(d.problems, &Problem{file: d.name, line: line, field: field, detail: detail})
}

// lineAt returns the line number of a byte offset.
func (d *Document) lineAt(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

// syntaxLine returns the line number in an error of the parser, which has it only in its text, or 1 if the text has none.
func syntaxLine(err error) int {
	line := 1
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d,", &line); scanErr != nil {
		return 1
	}
	return line
}
