package keygive

import (
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
	edit     *apiflags.EditOptions
	customer string
}

// Register adds the command to its parent, "figpier key".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("give", "Give a customer a key; its secret is shown only once.")
	c.HelpLong(`  figpier key give valv
  figpier key give valv --json`)
	c.Arg("customer", "Name of the customer.").Required().StringVar(&o.customer)
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
	receipt, err := client.GiveKey(o.factory.Context(), edit, o.customer)
	if err != nil {
		return err
	}
	if receipt.Secret == nil {
		if err := o.printResendNotice(*receipt.Key); err != nil {
			return err
		}
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewGiveKeyResponseBody(receipt))
	}
	if receipt.Secret == nil {
		return nil
	}
	return print.Line(o.factory.Out(), "%s", *receipt.Secret)
}

// printResendNotice explains why the answer to a resent edit has no secret and how to replace the key.
func (o *options) printResendNotice(id string) error {
	return print.Line(o.factory.Err(), "the secret of key %s was shown only in the answer to the first request; "+
		"if that answer was lost, run \"figpier key withdraw %s\" and give another key", id, id)
}
