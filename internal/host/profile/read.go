package profile

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/host/jsonc"
)

// Error is the class of errors from reading or writing a profile file.
var Error = errs.Class("profile")

// Bounds and patterns of the fields of a profile.
const (
	// MaxSize is the size up to which a profile is accepted from standard input and by the operator API. Read and Parse don't
	// check it.
	MaxSize           = 1 << 20 // bytes
	maxNameLength     = 64      // bytes
	maxPathLength     = 1024    // bytes
	minDeadline       = time.Millisecond
	maxDeadline       = time.Hour
	maxRate           = 1e9 // requests per second
	maxBurst          = 1e9 // requests
	minWeight         = 0.001
	maxWeight         = 1000
	maxTreeBudget     = 100
	maxShare          = 10
	maxCallerInterval = time.Hour
	anyMethod         = "*"
	wildcardSuffix    = "/*"
	wildcard          = "*"
	nameCharacters    = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."
)

var methods = []string{anyMethod, "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Read reads and checks a profile file. It returns an Error if the file can't be read, and a *jsonc.ProblemsError if its content
// is invalid.
func Read(path string) (*figpier.Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return Parse(path, data)
}

// Parse checks the text of a profile file. Problems show name as the name of the file. It returns a *jsonc.ProblemsError if the
// text is invalid.
func Parse(name string, data []byte) (*figpier.Profile, error) {
	d, err := jsonc.Parse(name, data)
	if err != nil {
		return nil, err
	}
	c := readProfile(d.Root())
	if err := d.Err(); err != nil {
		return nil, err
	}
	return figpier.NewProfile(c), nil
}

func readProfile(o *jsonc.Object) figpier.ProfileConfig {
	c := figpier.ProfileConfig{
		Name:    figpier.ProfileName(readName(o.Required("name"))),
		Limits:  map[figpier.CustomerID]figpier.Limit{},
		Weights: map[figpier.CustomerID]float64{},
	}
	o.Required("routes").EachElement(func(f *jsonc.Field) {
		c.Routes = append(c.Routes, readRoute(f.Object()))
	})
	c.DefaultLimit = readLimit(o.Required("defaultLimit"))
	o.Optional("limits").Object().EachField(func(name string, f *jsonc.Field) {
		c.Limits[readCustomer(name, f)] = readLimit(f)
	})
	o.Optional("weights").Object().EachField(func(name string, f *jsonc.Field) {
		c.Weights[readCustomer(name, f)] = f.Number(minWeight, maxWeight)
	})
	c.Retry = readRetry(o.Required("retry"))
	o.RejectUnknown()
	return c
}

// CheckName reports whether a name is valid for a profile, a service, a customer or an instance, and if not, why.
func CheckName(name string) (detail string, ok bool) {
	switch {
	case name == "":
		return "the name is empty", false
	case len(name) > maxNameLength:
		return fmt.Sprintf("the name is longer than %d bytes", maxNameLength), false
	case strings.HasPrefix(name, "."):
		return "a name does not begin with a full stop", false
	case strings.Trim(name, nameCharacters) != "":
		return "a name has only letters, digits, hyphens, underscores and full stops", false
	}
	return "", true
}

func readName(f *jsonc.Field) string {
	s := f.Text()
	if detail, ok := CheckName(s); f.IsSet() && !ok {
		f.Failf("%s", detail)
	}
	return s
}

// readCustomer returns the customer that a field is named after, and reports an invalid name with the field.
func readCustomer(name string, f *jsonc.Field) figpier.CustomerID {
	if detail, ok := CheckName(name); !ok {
		f.Failf("the customer: %s", detail)
	}
	return figpier.CustomerID(name)
}

func readRoute(o *jsonc.Object) *figpier.Route {
	c := figpier.RouteConfig{
		Method: readMethod(o.Required("method")),
		Path:   readPath(o.Required("path")),
		Priority: figpier.PriorityClass(o.Required("priority").
			Integer(int64(figpier.HighestPriority), int64(figpier.LowestPriority))),
		Idempotent: o.Required("idempotent").Bool(),
		Open:       o.Optional("open").Bool(),
		Deadline:   o.Required("deadline").Duration(minDeadline, maxDeadline),
	}
	o.RejectUnknown()
	return figpier.NewRoute(c)
}

func readMethod(f *jsonc.Field) string {
	s := f.Text()
	if f.IsSet() && !slices.Contains(methods, s) {
		f.Failf("want one of %s", strings.Join(methods, ", "))
	}
	return s
}

// readPath reads the path of a route, which may end in a wildcard.
func readPath(f *jsonc.Field) string {
	s := f.Name(maxPathLength)
	prefix := strings.TrimSuffix(s, wildcardSuffix)
	switch {
	case !f.IsSet():
	case !strings.HasPrefix(s, "/"):
		f.Failf("a path begins with /")
	case strings.Contains(prefix, wildcard):
		f.Failf("a * stands only at the end, after a /")
	case strings.ContainsAny(s, "?#"):
		f.Failf("a path has no query or fragment")
	}
	return s
}

// readLimit reads a rate limit. It returns the zero limit if the field is missing, which Required has already reported.
func readLimit(f *jsonc.Field) figpier.Limit {
	o := f.Object()
	if !f.IsSet() {
		return figpier.Limit{}
	}
	c := figpier.LimitConfig{
		Rate:  o.Required("rate").Rate(0, maxRate),
		Burst: o.Required("burst").Number(0, maxBurst),
	}
	o.RejectUnknown()
	return figpier.NewLimit(c)
}

// readRetry reads the retry policy. It returns the zero policy if the field is missing, which Required has already reported.
func readRetry(f *jsonc.Field) figpier.RetryPolicy {
	o := f.Object()
	if !f.IsSet() {
		return figpier.RetryPolicy{}
	}
	c := figpier.RetryConfig{
		TreeBudget:     int(o.Required("treeBudget").Integer(0, maxTreeBudget)),
		Share:          o.Required("share").Number(0, maxShare),
		CallerInterval: o.Required("callerInterval").Duration(0, maxCallerInterval),
	}
	o.RejectUnknown()
	return figpier.NewRetryPolicy(c)
}
