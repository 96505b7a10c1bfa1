package profilelist

import (
	"strconv"
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
}

// Register adds the command to its parent, "figpier profile".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("list", "List profiles.")
	c.HelpLong(`  figpier profile list
  figpier profile list --json`)
	o.api = apiflags.Add(c)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	client, err := o.api.Client()
	if err != nil {
		return err
	}
	list, err := client.Profiles(o.factory.Context())
	if err != nil {
		return err
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewListProfilesResponseBody(list))
	}
	var rows [][]string
	for _, p := range list.Profiles {
		rows = append(rows, []string{p.Name, strconv.FormatInt(p.Revision, 10), strconv.Itoa(p.Routes), strings.Join(p.Services, ",")})
	}
	return print.Table(o.factory.Out(), []string{"NAME", "REVISION", "ROUTES", "SERVICES"}, rows)
}
