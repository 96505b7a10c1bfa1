package keylist

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

// Register adds the command to its parent, "figpier key".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("list", "List customer keys without their secrets.")
	c.HelpLong(`  figpier key list
  figpier key list --json`)
	o.api = apiflags.Add(c)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	client, err := o.api.Client()
	if err != nil {
		return err
	}
	list, err := client.Keys(o.factory.Context())
	if err != nil {
		return err
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewListKeysResponseBody(list))
	}
	var rows [][]string
	for _, k := range list.Keys {
		rows = append(rows, []string{k.ID, k.Customer, strconv.FormatInt(k.Revision, 10)})
	}
	return print.Table(o.factory.Out(), []string{"ID", "CUSTOMER", "REVISION"}, rows)
}
