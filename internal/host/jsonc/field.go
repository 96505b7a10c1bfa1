package jsonc

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

const rateUnit = "/s"

// Field is one value of a file, or a field that the file lacks. Methods that return a value return the zero value if the file
// lacks the field or the value is wrong; a wrong value is reported as a problem.
type Field struct {
	document *Document
	path     string
	value    *hujson.Value
	line     int
	set      bool
	failed   bool
}

// IsSet reports whether the file has the field.
func (f *Field) IsSet() bool { return f.set }

// Valid reports whether the file has the field and no problem with it has been reported so far.
func (f *Field) Valid() bool { return f.set && !f.failed }

// Line returns the line number of the field's value, or of the surrounding object if the file lacks the field.
func (f *Field) Line() int {
	if f.value == nil {
		return f.line
	}
	return f.document.lineAt(f.value.StartOffset)
}

// Path returns the field's path, such as "routes[2].deadline".
func (f *Field) Path() string { return f.path }

// Failf reports a problem with the field. Only the first problem of a field is kept.
func (f *Field) Failf(format string, a ...any) {
	if f.failed {
		return
	}
	f.failed = true
	f.document.addProblem(f.Line(), f.path, fmt.Sprintf(format, a...))
}

// Text returns a string.
func (f *Field) Text() string {
	l, ok := f.literal('"', "a text in double quotes")
	if !ok {
		return ""
	}
	return l.String()
}

// Name returns a string of 1 to maxLength bytes without white space or control characters.
func (f *Field) Name(maxLength int) string {
	s := f.Text()
	switch {
	case !f.set || f.failed:
	case s == "":
		f.Failf("the name is empty")
	case len(s) > maxLength:
		f.Failf("the name is longer than %d bytes", maxLength)
	case strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f }):
		f.Failf("the name has white space or control characters")
	}
	return s
}

// Bool returns a boolean.
func (f *Field) Bool() bool {
	if !f.set {
		return false
	}
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || l.Kind() != 't' && l.Kind() != 'f' {
		f.Failf("want true or false")
		return false
	}
	return l.Bool()
}

// Integer returns a whole number within bounds.
func (f *Field) Integer(minimum, maximum int64) int64 {
	l, ok := f.literal('0', "a whole number without a unit")
	if !ok {
		return 0
	}
	n, err := strconv.ParseInt(string(l), 10, 64)
	if err != nil || n < minimum || n > maximum {
		f.Failf("want a whole number from %d to %d", minimum, maximum)
		return 0
	}
	return n
}

// Number returns a number within bounds.
func (f *Field) Number(minimum, maximum float64) float64 {
	l, ok := f.literal('0', "a number without a unit")
	if !ok {
		return 0
	}
	n := l.Float()
	if math.IsNaN(n) || n < minimum || n > maximum {
		f.Failf("want a number from %g to %g", minimum, maximum)
		return 0
	}
	return n
}

// Duration returns a duration within bounds, written as a string with a unit such as "250ms".
func (f *Field) Duration(minimum, maximum time.Duration) time.Duration {
	l, ok := f.literal('"', `a text with a unit such as "250ms" or "4s"`)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(l.String())
	switch {
	case err != nil:
		f.Failf(`want a length of time with a unit such as "250ms" or "4s"`)
		return 0
	case d < minimum || d > maximum:
		f.Failf("want a length of time from %v to %v", minimum, maximum)
		return 0
	}
	return d
}

// Rate returns a rate per second within bounds, written as a string with the unit "/s" such as "100/s".
func (f *Field) Rate(minimum, maximum float64) float64 {
	l, ok := f.literal('"', `a text with a unit such as "100/s"`)
	if !ok {
		return 0
	}
	number, hasUnit := strings.CutSuffix(l.String(), rateUnit)
	n, err := strconv.ParseFloat(number, 64)
	switch {
	case err != nil || !hasUnit || math.IsNaN(n):
		f.Failf(`want a rate with its unit such as "100/s"`)
		return 0
	case n < minimum || n > maximum:
		f.Failf("want a rate from %g/s to %g/s", minimum, maximum)
		return 0
	}
	return n
}

// EachElement calls a function for each element of a list.
func (f *Field) EachElement(read func(*Field)) {
	if !f.set {
		return
	}
	a, ok := f.value.Value.(*hujson.Array)
	if !ok {
		f.Failf("want a list in square brackets")
		return
	}
	for i := range a.Elements {
		read(&Field{
			document: f.document,
			path:     fmt.Sprintf("%s[%d]", f.path, i),
			value:    &a.Elements[i],
			set:      true,
		})
	}
}

// Object returns the value as an object, which is empty if the value is of another type.
func (f *Field) Object() *Object {
	o := newObject(f)
	if !f.set {
		return o
	}
	v, ok := f.value.Value.(*hujson.Object)
	if !ok {
		f.Failf("want an object in braces")
		return o
	}
	o.addMembers(v)
	return o
}

// literal returns the value if it is a literal of the given kind, and otherwise reports that want was expected.
func (f *Field) literal(kind hujson.Kind, want string) (hujson.Literal, bool) {
	if !f.set {
		return nil, false
	}
	l, ok := f.value.Value.(hujson.Literal)
	if !ok || l.Kind() != kind {
		f.Failf("want %s", want)
		return nil, false
	}
	return l, true
}
