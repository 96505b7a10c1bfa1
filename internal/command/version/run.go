package version

import (
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"

	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/print"
)

// unknownVersion is printed when the build information has no module version.
const unknownVersion = "(devel)"

// options holds the dependencies and the flags of the command.
type options struct {
	factory *factory.Factory
	json    bool
}

// Register adds the command "figpier version".
func Register(app *kingpin.Application, f *factory.Factory) {
	o := &options{factory: f}
	c := app.Command("version", "Show the version of the program.")
	c.HelpLong(`  figpier version
  figpier version --json`)
	c.Flag("json", "Write JSON.").BoolVar(&o.json)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	version := unknownVersion
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	if o.json {
		return print.JSON(o.factory.Out(), map[string]string{"version": version, "go": runtime.Version()})
	}
	return print.Line(o.factory.Out(), "figpier %s (%s)", version, runtime.Version())
}
