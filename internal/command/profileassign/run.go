package profileassign

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/figpier/figpier/gen/http/operator/server"
	"github.com/figpier/figpier/internal/command/apiflags"
	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/print"
	"github.com/figpier/figpier/internal/link/operator"
)

// options holds the dependencies and the flags and arguments of the command.
type options struct {
	factory *factory.Factory
	api     *apiflags.Options
	edit    *apiflags.EditOptions
	profile string
	service string
}

// Register adds the command to its parent, "figpier profile".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("assign", "Assign a profile to a service.")
	c.HelpLong(`  figpier profile assign booking dates
  figpier profile assign booking dates --base 9`)
	c.Arg("profile", "Name of the profile.").Required().StringVar(&o.profile)
	c.Arg("service", "Name of the service.").Required().StringVar(&o.service)
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
	edit, err := o.edit.Config(func() (int64, error) { return assignmentRevision(ctx, client, o.service) })
	if err != nil {
		return err
	}
	receipt, err := client.Assign(ctx, edit, o.service, o.profile)
	if err != nil {
		return err
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewAssignResponseBody(receipt))
	}
	return print.Line(o.factory.Out(), "service %s has profile %s at revision %d", o.service, o.profile, receipt.Revision)
}

// assignmentRevision returns the revision of a service's assignment, or 0 if the service has none.
func assignmentRevision(ctx context.Context, c *operator.Client, service string) (int64, error) {
	list, err := c.Assignments(ctx)
	if err != nil {
		return 0, err
	}
	for _, a := range list.Assignments {
		if a.Service == service {
			return a.Revision, nil
		}
	}
	return 0, nil
}
