package metrics

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

const refusalsPage = "../../../docs/REFUSALS.md"

// pageRows returns the table rows of docs/REFUSALS.md between two headings, of which the first cell is formatted as code.
func pageRows(t *testing.T, from, to string) string {
	t.Helper()
	page, err := os.ReadFile(refusalsPage)
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(page), from)
	assert.Assert(t, found, from)
	section, _, _ := strings.Cut(rest, to)
	rows := &strings.Builder{}
	for l := range strings.Lines(section) {
		if strings.HasPrefix(l, "| `") {
			rows.WriteString(l)
		}
	}
	return rows.String()
}

func TestRefusalsPageMatchesRefusalKinds(t *testing.T) {
	want := &strings.Builder{}
	for _, k := range figpier.RefusalKinds() {
		notRun := "no"
		if k.NotRun() {
			notRun = "yes"
		}
		fmt.Fprintf(want, "| `%s` | %d | %s | %s | `%s` |\n", k.Reason(), k.Status(), notRun, k.Explanation(), RefusalCounter(k.Reason()))
	}
	got := pageRows(t, "## Refusals", "## Retries")
	assert.Equal(t, got, want.String(), "the rows of docs/REFUSALS.md should be:\n%s", want)
}

func TestRetriesPageListsEveryReason(t *testing.T) {
	rows := pageRows(t, "## Retries", "\n## ")
	for _, reason := range retryReasons(t) {
		assert.Assert(t, strings.Contains(rows, "| `"+reason+"` |"), "docs/REFUSALS.md lacks the retry reason %s", reason)
	}
	assert.Equal(t, strings.Count(rows, "\n"), len(retryReasons(t)))
}

// retryReasons returns the values of the constants of type figpier.RetryReason.
func retryReasons(t *testing.T) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../../traffic.go", nil, 0)
	assert.NilError(t, err)
	var reasons []string
	ast.Inspect(file, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || len(v.Values) != 1 {
			return true
		}
		kind, isName := v.Type.(*ast.Ident)
		value, isText := v.Values[0].(*ast.BasicLit)
		if isName && isText && kind.Name == "RetryReason" {
			reason, err := strconv.Unquote(value.Value)
			assert.NilError(t, err)
			reasons = append(reasons, reason)
		}
		return true
	})
	assert.Assert(t, len(reasons) > 0)
	return reasons
}
