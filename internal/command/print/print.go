package print

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// Error is the class of errors in encoding or writing results.
var Error = errs.Class("output")

// columnGap is the number of spaces between columns.
const columnGap = 2

// JSON writes a value as indented JSON and leaves <, > and & unescaped.
func JSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return Error.Wrap(e.Encode(value))
}

// Table writes rows below a header, in aligned columns separated by spaces.
func Table(w io.Writer, header []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, r := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(t, strings.Join(r, "\t")); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(t.Flush())
}

// Line formats and writes one line, to which it adds the newline.
func Line(w io.Writer, format string, a ...any) error {
	_, err := fmt.Fprintf(w, format+"\n", a...)
	return Error.Wrap(err)
}
