package assignmentlist

import (
	"strconv"

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
}

// Register adds the command to its parent, "figpier assignment".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("list", "List the profile assigned to each service.")
	c.HelpLong(`  figpier assignment list
  figpier assignment list --json`)
	o.api = apiflags.Add(c)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	client, err := o.api.Client()
	if err != nil {
		return err
	}
	list, err := client.Assignments(o.factory.Context())
	if err != nil {
		return err
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewListAssignmentsResponseBody(list))
	}
	var rows [][]string
	for _, a := range list.Assignments {
		rows = append(rows, []string{a.Service, a.Profile, strconv.FormatInt(a.Revision, 10)})
	}
	return print.Table(o.factory.Out(), []string{"SERVICE", "PROFILE", "REVISION"}, rows)
}
