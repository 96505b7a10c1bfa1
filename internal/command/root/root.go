package root

import (
	"errors"

	"github.com/alecthomas/kingpin/v2"

	"github.com/figpier/figpier/internal/command/assignmentlist"
	"github.com/figpier/figpier/internal/command/controlrun"
	"github.com/figpier/figpier/internal/command/demo"
	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/keygive"
	"github.com/figpier/figpier/internal/command/keylist"
	"github.com/figpier/figpier/internal/command/keywithdraw"
	"github.com/figpier/figpier/internal/command/noderun"
	"github.com/figpier/figpier/internal/command/nodeview"
	"github.com/figpier/figpier/internal/command/print"
	"github.com/figpier/figpier/internal/command/profileapply"
	"github.com/figpier/figpier/internal/command/profileassign"
	"github.com/figpier/figpier/internal/command/profiledelete"
	"github.com/figpier/figpier/internal/command/profilelist"
	"github.com/figpier/figpier/internal/command/profileview"
	"github.com/figpier/figpier/internal/command/settingscheck"
	"github.com/figpier/figpier/internal/command/status"
	"github.com/figpier/figpier/internal/command/version"
)

// usageTemplate adds a command's examples, which its long help holds, to kingpin's usage text.
var usageTemplate = kingpin.DefaultUsageTemplate + `{{with .Context.SelectedCommand}}{{if .HelpLong}}Examples:
{{.HelpLong}}
{{end}}{{end}}`

// Run parses the arguments, runs the command and returns the exit code.
func Run(arguments []string, f *factory.Factory) int {
	app := kingpin.New("figpier", "Overload control for service call graphs.")
	app.UsageTemplate(usageTemplate)
	app.UsageWriter(f.Out())
	app.ErrorWriter(f.Err())
	// Kingpin would exit the process after it has shown help.
	app.Terminate(func(int) { f.MarkHelpShown() })
	registerCommands(app, f)

	_, err := app.Parse(arguments)
	if f.HelpShown() {
		return ExitOK
	}
	return reportError(f, err)
}

func registerCommands(app *kingpin.Application, f *factory.Factory) {
	node := app.Command("node", "Work with nodes, the processes beside backend servers.")
	noderun.Register(node, f)
	nodeview.Register(node, f)
	control := app.Command("control", "Work with control instances.")
	controlrun.Register(control, f)
	profile := app.Command("profile", "Work with profiles.")
	profileapply.Register(profile, f)
	profilelist.Register(profile, f)
	profileview.Register(profile, f)
	profileassign.Register(profile, f)
	profiledelete.Register(profile, f)
	assignment := app.Command("assignment", "Work with assignments of profiles to services.")
	assignmentlist.Register(assignment, f)
	key := app.Command("key", "Work with customer keys.")
	keygive.Register(key, f)
	keylist.Register(key, f)
	keywithdraw.Register(key, f)
	settings := app.Command("settings", "Work with settings files.")
	settingscheck.Register(settings, f)
	status.Register(app, f)
	demo.Register(app, f)
	version.Register(app, f)
}

// reportError writes the error and a hint to standard error, and returns the exit code.
func reportError(f *factory.Factory, err error) int {
	if err == nil {
		return ExitOK
	}
	code, hint := classifyError(err)
	_ = print.Line(f.Err(), "figpier: %v", err)
	if hint != "" {
		_ = print.Line(f.Err(), "%s", hint)
	}
	return code
}

// classifyError returns the exit code and the hint for an error.
// Kingpin reports errors in flags and arguments without a RunError.
func classifyError(err error) (code int, hint string) {
	var run *factory.RunError
	if !errors.As(err, &run) {
		return ExitUsage, "run \"figpier help\" followed by the command name for its usage"
	}
	return classifyRunError(run)
}
