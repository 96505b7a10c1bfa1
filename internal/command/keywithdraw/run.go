package keywithdraw

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
	id      string
}

// Register adds the command to its parent, "figpier key".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("withdraw", "Withdraw a customer key, including for callers that are connected.")
	c.HelpLong(`  figpier key list
  figpier key withdraw a31f8c8c6c781d92`)
	c.Arg("id", "ID of the key, as \"figpier key list\" shows it.").Required().StringVar(&o.id)
	o.api = apiflags.Add(c)
	o.edit = apiflags.AddEdit(c)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	client, err := o.api.Client()
	if err != nil {
		return err
	}
	edit, err := o.edit.Config(nil)
	if err != nil {
		return err
	}
	receipt, err := client.WithdrawKey(o.factory.Context(), edit, o.id)
	if err != nil {
		return err
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewWithdrawKeyResponseBody(receipt))
	}
	return print.Line(o.factory.Out(), "key %s was withdrawn at revision %d", o.id, receipt.Revision)
}
