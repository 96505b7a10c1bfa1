package nodeview

import (
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/figpier/figpier/gen/http/operator/server"
	"github.com/figpier/figpier/internal/command/apiflags"
	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/print"
)

// options holds the dependencies and the flags and arguments of the command.
type options struct {
	factory  *factory.Factory
	api      *apiflags.Options
	instance string
}

// Register adds the command to its parent, "figpier node".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("view", "Show which limits of a node are restricting requests, for which customers and since when.")
	c.HelpLong(`  figpier status
  figpier node view booking-1`)
	c.Arg("instance", "Name of the node, as \"figpier status\" shows it.").Required().StringVar(&o.instance)
	o.api = apiflags.Add(c)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	client, err := o.api.Client()
	if err != nil {
		return err
	}
	view, err := client.Node(o.factory.Context(), o.instance)
	if err != nil {
		return err
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewViewNodeResponseBody(view))
	}
	if len(view.Bindings) == 0 {
		return print.Line(o.factory.Out(), "no limit of %s is restricting requests", view.Instance)
	}
	var rows [][]string
	for _, b := range view.Bindings {
		since := time.Duration(b.SinceMillis) * time.Millisecond
		limit := strconv.FormatFloat(b.Limit, 'g', 4, 64)
		rows = append(rows, []string{b.Kind, b.Service, b.Place, b.Customer, limit, strconv.Itoa(b.Count), since.String()})
	}
	return print.Table(o.factory.Out(), []string{"LIMIT", "SERVICE", "PLACE", "CUSTOMER", "VALUE", "REFUSALS", "SINCE"}, rows)
}
