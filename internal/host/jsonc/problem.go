package jsonc

import (
	"fmt"
	"strings"
)

// Problem is one error in a file with its location.
type Problem struct {
	file   string
	line   int
	field  string
	detail string
}

// File returns the name of the file.
func (p *Problem) File() string { return p.file }

// Line returns the line number, starting at 1.
func (p *Problem) Line() int { return p.line }

// Field returns the path of the field, such as "routes[2].deadline". It is empty for a problem with the whole file.
func (p *Problem) Field() string { return p.field }

// Detail describes the problem and, where possible, what the file should contain instead.
func (p *Problem) Detail() string { return p.detail }

// Error implements error.
func (p *Problem) Error() string {
	if p.field == "" {
		return fmt.Sprintf("%s:%d: %s", p.file, p.line, p.detail)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.file, p.line, p.field, p.detail)
}

// ProblemsError lists the problems of a file, at least one, in the order of their lines.
type ProblemsError struct {
	problems []*Problem
}

// Problems returns all problems in the order of their lines.
func (e *ProblemsError) Problems() []*Problem { return e.problems }

// First returns the problem with the lowest line number.
func (e *ProblemsError) First() *Problem { return e.problems[0] }

// Error implements error.
func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.problems))
	for i, p := range e.problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}
