package profiledelete

import (
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
	edit    *apiflags.EditOptions
	name    string
}

// Register adds the command to its parent, "figpier profile".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("delete", "Delete a profile that is not assigned to any service.")
	c.HelpLong(`  figpier profile delete booking
  figpier profile delete booking --base 7`)
	c.Arg("name", "Name of the profile.").Required().StringVar(&o.name)
	o.api = apiflags.Add(c)
	o.edit = apiflags.AddEditWithBase(c)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	client, err := o.api.Client()
	if err != nil {
		return err
	}
	ctx := o.factory.Context()
	edit, err := o.edit.Config(func() (int64, error) {
		v, err := client.Profile(ctx, o.name)
		if err != nil {
			return 0, err
		}
		return v.Revision, nil
	})
	if err != nil {
		return err
	}
	receipt, err := client.DeleteProfile(ctx, edit, o.name)
	if err != nil {
		return err
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewDeleteProfileResponseBody(receipt))
	}
	return print.Line(o.factory.Out(), "profile %s was deleted at revision %d", o.name, receipt.Revision)
}
