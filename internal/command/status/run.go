package status

import (
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/figpier/figpier/gen/http/operator/server"
	api "github.com/figpier/figpier/gen/operator"
	"github.com/figpier/figpier/internal/command/apiflags"
	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/print"
)

// options holds the dependencies and the flags of the command.
type options struct {
	factory *factory.Factory
	api     *apiflags.Options
}

// Register adds the command "figpier status".
func Register(app *kingpin.Application, f *factory.Factory) {
	o := &options{factory: f}
	c := app.Command("status", "Show the state of the fleet as a control instance knows it.")
	c.HelpLong(`  figpier status
  figpier status --json`)
	o.api = apiflags.Add(c)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	client, err := o.api.Client()
	if err != nil {
		return err
	}
	s, err := client.Status(o.factory.Context())
	if err != nil {
		return err
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewViewStatusResponseBody(s))
	}
	if err := o.printControl(s); err != nil {
		return err
	}
	return o.printMembers(s.Members)
}

// printControl prints the state of the control instance that answered.
func (o *options) printControl(s *api.Status) error {
	age := time.Duration(s.QuorumAgeMillis) * time.Millisecond
	rows := [][]string{
		{"leader", s.Leader},
		{"revision", strconv.FormatInt(s.Revision, 10)},
		{"profiles", strconv.Itoa(s.Profiles)},
		{"assignments", strconv.Itoa(s.Assignments)},
		{"keys", strconv.Itoa(s.Keys)},
		{"quorum contact", age.String() + " ago"},
	}
	return print.Table(o.factory.Out(), []string{"control", s.Instance}, rows)
}

// printMembers prints the nodes of the fleet after an empty line.
func (o *options) printMembers(members []*api.Member) error {
	if err := print.Line(o.factory.Out(), ""); err != nil {
		return err
	}
	var rows [][]string
	for _, m := range members {
		rows = append(rows, []string{m.Service, m.Instance, m.DataCentre, strconv.Itoa(m.Slots), strconv.FormatBool(m.Draining)})
	}
	return print.Table(o.factory.Out(), []string{"SERVICE", "INSTANCE", "DATA CENTRE", "SLOTS", "DRAINING"}, rows)
}
