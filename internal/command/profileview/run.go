package profileview

import (
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/figpier/figpier/gen/http/operator/server"
	"github.com/figpier/figpier/internal/command/apiflags"
	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/print"
)

// options holds the dependencies and the flags and arguments of the command.
type options struct {
	factory *factory.Factory
	api     *apiflags.Options
	name    string
}

// Register adds the command to its parent, "figpier profile".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("view", "Show a profile in the format of a profile file.")
	c.HelpLong(`  figpier profile view booking > booking.jsonc
  figpier profile view booking --json`)
	c.Arg("name", "Name of the profile.").Required().StringVar(&o.name)
	o.api = apiflags.Add(c)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	client, err := o.api.Client()
	if err != nil {
		return err
	}
	view, err := client.Profile(o.factory.Context(), o.name)
	if err != nil {
		return err
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewViewProfileResponseBody(view))
	}
	return print.Line(o.factory.Out(), "// revision %d\n%s", view.Revision, strings.TrimSpace(view.Document))
}
