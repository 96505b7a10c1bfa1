package architecture

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	modulePath = "github.com/figpier/figpier"
	rootFolder = "../.."
)

// parseSources returns the module's Go files, except tests, generated files and the folders testdata and .NAME.
func parseSources(t *testing.T) []sourceFile {
	t.Helper()
	var all []sourceFile
	err := filepath.WalkDir(rootFolder, func(p string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if d.Name() == "testdata" || strings.HasPrefix(d.Name(), ".") && p != rootFolder {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(p)
		if err != nil {
			return err
		}
		folder, err := filepath.Rel(rootFolder, filepath.Dir(p))
		if err != nil {
			return err
		}
		s := parseSource(t, filepath.ToSlash(folder), d.Name(), string(text))
		if !ast.IsGenerated(s.syntax) {
			all = append(all, s)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, len(all) > 0)
	return all
}

// parseSource parses the text of a Go file in a folder of the module.
func parseSource(t *testing.T, folder, name, text string) sourceFile {
	t.Helper()
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, name, text, parser.ParseComments)
	assert.NilError(t, err)
	return sourceFile{folder: folder, name: name, fileSet: fileSet, syntax: file}
}

func TestCodeFollowsTheRules(t *testing.T) {
	all := parseSources(t)
	for name, r := range rules {
		t.Run(name, func(t *testing.T) {
			for _, s := range all {
				for _, violation := range r(s) {
					t.Error(violation)
				}
			}
		})
	}
}

func TestEveryPackageHasADocFile(t *testing.T) {
	documented := map[string]bool{}
	for _, s := range parseSources(t) {
		documented[s.folder] = documented[s.folder] || s.name == "doc.go" && s.syntax.Doc != nil
	}
	for folder, ok := range documented {
		assert.Check(t, ok, "%s has no doc.go with a package comment", folder)
	}
}

func TestRulesReportViolations(t *testing.T) {
	tests := []struct {
		rule   string
		folder string
		code   string
	}{
		{"interfaces are declared in the root package", "internal/a/b", "type I interface { M() }"},
		{"interfaces are declared in the root package", "internal/a/b", "func f(i interface{ M() }) {}"},
		{"data fields are unexported", "internal/a/b", "type T struct { Field int }"},
		{"packages are at internal/AREA/PACKAGE", "internal/a", ""},
		{"packages are at internal/AREA/PACKAGE", "internal/a/b/c", ""},
		{"every error has a type", "internal/a/b", `var e = errors.New("x")`},
		{"every error has a type", "internal/a/b", `var e = fmt.Errorf("x")`},
		{"decisions import no codec, socket or clock", "internal/policy/b", `import "net/http"`},
		{"decisions import no codec, socket or clock", "internal/policy/b", `import "encoding/json"`},
		{"decisions import no codec, socket or clock", "internal/policy/b", `import "os"`},
		{"decisions import no codec, socket or clock", "internal/policy/b", `import "` + modulePath + `/internal/wire/codec"`},
		{"decisions import no codec, socket or clock", "internal/policy/b", "var t = time.Now()"},
		{"only the kernel calls HandleEvent", "internal/traffic/b", "func f() { s.HandleEvent(now, e) }"},
		{"no thread spins or sleeps", "internal/a/b", "func f() { time.Sleep(1) }"},
		{"no thread spins or sleeps", "internal/a/b", "func f() { for { select { case <-c: default: } } }"},
		{"names of the platform's protocol are only below platform", "internal/a/b", `const h = "X-Attempt-Id"`},
		{"no library does the clustering or the proxying", "internal/a/b", `import "os/exec"`},
		{"no library does the clustering or the proxying", "internal/a/b", "var p httputil.ReverseProxy"},
	}
	found := map[string]bool{}
	for _, tt := range tests {
		s := parseSource(t, tt.folder, "f.go", "package p\n"+tt.code)
		assert.Check(t, len(rules[tt.rule](s)) > 0, "the rule %q reports nothing in %s", tt.rule, tt.code)
		found[tt.rule] = true
	}
	for name := range rules {
		assert.Check(t, found[name], "the rule %q has no example", name)
	}
}

func TestRulesAcceptConformingCode(t *testing.T) {
	const code = `package p

import "time"

type I[T any] interface { ~int | ~string }
type ServerConfig struct { Address string }
type state struct { field int }

func f(t time.Time) error {
	for {
		select {
		case <-c:
		default:
			return Error.New("typed")
		}
	}
}
`
	var violations []string
	for _, r := range rules {
		violations = slices.Concat(violations, r(parseSource(t, "internal/policy/b", "f.go", code)))
	}
	assert.Equal(t, strings.Join(violations, "\n"), "")
}
