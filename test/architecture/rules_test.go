package architecture

import (
	"fmt"
	"go/ast"
	"go/token"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// sourceFile is one parsed Go file of the module, neither a test nor generated.
type sourceFile struct {
	folder  string // slash-separated, "." for the root
	name    string
	fileSet *token.FileSet
	syntax  *ast.File
}

// rule returns the violations in a file, each as "PATH:LINE: text".
type rule func(s sourceFile) []string

// rules are the checked rules by name. Every rule needs an example in TestRulesReportViolations.
var rules = map[string]rule{
	"interfaces are declared in the root package":              interfacesInRoot,
	"data fields are unexported":                               fieldsUnexported,
	"packages are at internal/AREA/PACKAGE":                    packageDepth,
	"every error has a type":                                   typedErrors,
	"decisions import no codec, socket or clock":               pureDecisions,
	"only the kernel calls HandleEvent":                        eventsOnlyInKernel,
	"no thread spins or sleeps":                                noSpinning,
	"no library does the clustering or the proxying":           noForeignClustering,
	"names of the platform's protocol are only below platform": platformNamesInPlatform,
}

var (
	// configType matches the types that callers fill in, which may have exported fields.
	configType = regexp.MustCompile(`(Config|Options|Settings|config|options|settings)$`)
	// clusteringImport matches libraries, and the start of other programs, that would do the project's own work.
	clusteringImport = regexp.MustCompile(`hashicorp/(raft|memberlist|serf)|etcd\.io/|dragonboat|vulcand/oxy|^os/exec$`)
	// platformName matches headers, paths and fields of the platform's protocol.
	platformName = regexp.MustCompile(`(?i)X-(Attempt-Id|Deadline-Ms|Expected-Instance|Not-Executed|Server-Signature|Caller-Service|Tenant)|figpier/(readiness|instances|configuration)|target_latency|weighted_services|heartbeat_address`)
	// nonPolicyImport matches packages for I/O and encoding, which policies must not use.
	nonPolicyImport = regexp.MustCompile(`^(net|os|io|encoding|syscall|database)(/|$)|jsonrpc2|logrus|goa\.design|hujson`)
	// clockFunctions are the functions of package time that read a clock or wait. Policies get the time as an argument.
	clockFunctions = []string{"Now", "Since", "Until", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep"}
)

// violation returns a text that begins with the position of a node.
func (s sourceFile) violation(n ast.Node, format string, a ...any) string {
	where := fmt.Sprintf("%s:%d: ", path.Join(s.folder, s.name), s.fileSet.Position(n.Pos()).Line)
	return where + fmt.Sprintf(format, a...)
}

// violations calls check for each node of a file and collects the texts, with positions. An empty text is no violation.
func (s sourceFile) violations(check func(n ast.Node) string) []string {
	var violations []string
	ast.Inspect(s.syntax, func(n ast.Node) bool {
		if n == nil {
			return true
		}
		if text := check(n); text != "" {
			violations = append(violations, s.violation(n, "%s", text))
		}
		return true
	})
	return violations
}

// interfacesInRoot reports interfaces with methods outside the root package. Type constraints may be anywhere.
func interfacesInRoot(s sourceFile) []string {
	if s.folder == "." {
		return nil
	}
	return s.violations(func(n ast.Node) string {
		i, ok := n.(*ast.InterfaceType)
		if !ok {
			return ""
		}
		for _, m := range i.Methods.List {
			if len(m.Names) > 0 {
				return "interface with the method " + m.Names[0].Name
			}
		}
		return ""
	})
}

// fieldsUnexported reports exported fields of structs other than those of configType.
func fieldsUnexported(s sourceFile) []string {
	return s.violations(func(n ast.Node) string {
		t, ok := n.(*ast.TypeSpec)
		if !ok || configType.MatchString(t.Name.Name) {
			return ""
		}
		fields, ok := t.Type.(*ast.StructType)
		if !ok {
			return ""
		}
		for _, f := range fields.Fields.List {
			for _, name := range f.Names {
				if name.IsExported() {
					return "exported field " + t.Name.Name + "." + name.Name
				}
			}
		}
		return ""
	})
}

// packageDepth reports packages below internal that are not at internal/AREA/PACKAGE.
func packageDepth(s sourceFile) []string {
	rest, inside := strings.CutPrefix(s.folder, "internal/")
	if s.folder == "internal" || inside && strings.Count(rest, "/") != 1 {
		return []string{s.violation(s.syntax, "a package below internal must be at internal/AREA/PACKAGE")}
	}
	return nil
}

// typedErrors reports errors made by functions that give them no type.
func typedErrors(s sourceFile) []string {
	return s.violations(func(n ast.Node) string {
		c, ok := n.(*ast.CallExpr)
		if !ok {
			return ""
		}
		if name := calledFunction(c); slices.Contains([]string{"errors.New", "fmt.Errorf", "errs.New", "errs.Errorf"}, name) {
			return name + " makes an error without a type"
		}
		return ""
	})
}

// pureDecisions reports policies that import I/O, encodings or the project's other packages, or that read a clock.
func pureDecisions(s sourceFile) []string {
	if !strings.HasPrefix(s.folder, "internal/policy/") {
		return nil
	}
	var violations []string
	for _, i := range s.syntax.Imports {
		p, _ := strconv.Unquote(i.Path.Value)
		own, isOwn := strings.CutPrefix(p, modulePath+"/")
		if nonPolicyImport.MatchString(p) || isOwn && !strings.HasPrefix(own, "internal/policy/") {
			violations = append(violations, s.violation(i, "imports %s", p))
		}
	}
	return append(violations, s.violations(func(n ast.Node) string {
		c, ok := n.(*ast.CallExpr)
		if !ok {
			return ""
		}
		if name, isTime := strings.CutPrefix(calledFunction(c), "time."); isTime && slices.Contains(clockFunctions, name) {
			return "reads a clock by time." + name
		}
		return ""
	})...)
}

// eventsOnlyInKernel reports calls of HandleEvent outside the kernel, which calls it on the control thread.
func eventsOnlyInKernel(s sourceFile) []string {
	if strings.HasPrefix(s.folder, "internal/kernel/") {
		return nil
	}
	return s.violations(func(n ast.Node) string {
		c, ok := n.(*ast.CallExpr)
		if !ok {
			return ""
		}
		if f, isMethod := c.Fun.(*ast.SelectorExpr); isMethod && f.Sel.Name == "HandleEvent" {
			return "calls HandleEvent off the control thread"
		}
		return ""
	})
}

// noSpinning reports sleeps and loops that poll without waiting.
func noSpinning(s sourceFile) []string {
	return s.violations(func(n ast.Node) string {
		switch n := n.(type) {
		case *ast.CallExpr:
			if name := calledFunction(n); name == "time.Sleep" || name == "runtime.Gosched" {
				return "calls " + name
			}
		case *ast.ForStmt:
			if n.Cond == nil && pollsWithoutLeaving(n.Body) {
				return "loops around a select with a default"
			}
		}
		return ""
	})
}

// pollsWithoutLeaving reports whether a loop's body holds a select whose default case does not return, so that the loop
// runs on without waiting.
func pollsWithoutLeaving(body *ast.BlockStmt) bool {
	for _, stmt := range body.List {
		choice, ok := stmt.(*ast.SelectStmt)
		if !ok {
			continue
		}
		for _, c := range choice.Body.List {
			if clause, ok := c.(*ast.CommClause); ok && clause.Comm == nil && !endsInReturn(clause.Body) {
				return true
			}
		}
	}
	return false
}

// endsInReturn reports whether the last statement of a case is a return.
func endsInReturn(body []ast.Stmt) bool {
	if len(body) == 0 {
		return false
	}
	_, returns := body[len(body)-1].(*ast.ReturnStmt)
	return returns
}

// noForeignClustering reports the use of clusteringImport or of the standard library's reverse proxy.
func noForeignClustering(s sourceFile) []string {
	var violations []string
	for _, i := range s.syntax.Imports {
		p, _ := strconv.Unquote(i.Path.Value)
		if clusteringImport.MatchString(p) {
			violations = append(violations, s.violation(i, "imports %s", p))
		}
	}
	return append(violations, s.violations(func(n ast.Node) string {
		if f, ok := n.(*ast.SelectorExpr); ok && selectorName(f) == "httputil.ReverseProxy" {
			return "uses httputil.ReverseProxy"
		}
		return ""
	})...)
}

// calledFunction returns the name of the called function in the form "errors.New", empty for calls of another form.
func calledFunction(c *ast.CallExpr) string {
	f, ok := c.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	return selectorName(f)
}

// selectorName returns a selector as "x.Name" if x is an identifier, otherwise an empty string.
func selectorName(f *ast.SelectorExpr) string {
	x, ok := f.X.(*ast.Ident)
	if !ok {
		return ""
	}
	return x.Name + "." + f.Sel.Name
}

// platformNamesInPlatform reports string literals with a name of the platform's protocol outside the folder platform.
func platformNamesInPlatform(s sourceFile) []string {
	if s.folder == "platform" || strings.HasPrefix(s.folder, "platform/") {
		return nil
	}
	return s.violations(func(n ast.Node) string {
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING && platformName.MatchString(l.Value) {
			return "contains a name of the platform's protocol: " + l.Value
		}
		return ""
	})
}
