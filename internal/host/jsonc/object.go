package jsonc

import (
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Object is a JSON object. It records which of its fields were accessed, so that RejectUnknown can report the others.
type Object struct {
	document *Document
	path     string
	line     int
	names    []string
	fields   map[string]*Field
	accessed map[string]bool
}

// newObject returns an empty object at the location of a field.
func newObject(f *Field) *Object {
	return &Object{
		document: f.document,
		path:     f.path,
		line:     f.Line(),
		fields:   map[string]*Field{},
		accessed: map[string]bool{},
	}
}

// addMembers adds the members of a parsed object, and reports duplicates, of which the first is kept.
func (o *Object) addMembers(v *hujson.Object) {
	for i := range v.Members {
		m := &v.Members[i]
		name := memberName(m)
		f := &Field{document: o.document, path: joinPath(o.path, name), value: &m.Value, set: true}
		if _, duplicate := o.fields[name]; duplicate {
			f.Failf("the field is written twice")
			continue
		}
		o.names = append(o.names, name)
		o.fields[name] = f
	}
}

// Optional returns a field. If the file lacks it, its methods return zero values and report no problem. In a file that was rendered
// from a template, an empty field counts as one that the file lacks.
func (o *Object) Optional(name string) *Field {
	o.accessed[name] = true
	f, ok := o.fields[name]
	switch {
	case !ok:
		return &Field{document: o.document, path: joinPath(o.path, name), line: o.line}
	case o.document.rendered && isEmptyText(f.value):
		return &Field{document: o.document, path: f.path, line: f.Line()}
	}
	return f
}

// Required returns a field and reports a problem if the file lacks it.
func (o *Object) Required(name string) *Field {
	f := o.Optional(name)
	_, written := o.fields[name]
	switch {
	case f.set:
	case written:
		f.Failf("the field is empty")
	default:
		f.Failf("the field is missing")
	}
	return f
}

// EachField calls a function for every field in the order of the file. It serves objects whose field names are not fixed.
func (o *Object) EachField(read func(name string, f *Field)) {
	for _, n := range o.names {
		o.accessed[n] = true
		read(n, o.fields[n])
	}
}

// Failf reports a problem with the whole object.
func (o *Object) Failf(format string, a ...any) {
	o.document.addProblem(o.line, o.path, fmt.Sprintf(format, a...))
}

// RejectUnknown reports every field that was not accessed. It is called after the object's known fields have been read.
func (o *Object) RejectUnknown() {
	for _, n := range o.names {
		if !o.accessed[n] {
			o.fields[n].Failf("the field is unknown: it is misspelt or stands in the wrong place")
		}
	}
}

// memberName returns the name of a member, empty if it is not a literal.
func memberName(m *hujson.ObjectMember) string {
	l, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return l.String()
}

func joinPath(path, name string) string {
	return strings.TrimPrefix(path+"."+name, ".")
}
