package controlrun

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/host/logs"
	"github.com/figpier/figpier/internal/host/process"
	"github.com/figpier/figpier/internal/host/settings"
)

// Error is the class of errors in how the command is used.
var Error = errs.Class("control run")

// options holds the dependencies and the flags of the command.
type options struct {
	factory  *factory.Factory
	settings string
}

// Register adds the command to its parent, "figpier control".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("run", "Run a control instance until SIGTERM or SIGINT.")
	c.Flag("settings", "Settings file, JSON with comments.").Short('s').Envar(settings.PathVariable).Required().StringVar(&o.settings)
	c.Action(f.Action(func() error { return run(o) }))
}

func run(o *options) error {
	s, err := settings.Read(o.settings)
	if err != nil {
		return err
	}
	if s.Control() == nil {
		return Error.New("%s has no \"control\" section: add one, or run \"figpier node run\" for a node", o.settings)
	}
	queue := logs.NewQueue(o.factory.Out())
	defer queue.Flush()
	l, err := process.NewLog(s, queue)
	if err != nil {
		return err
	}
	k, err := process.NewControl(s, l)
	if err != nil {
		return err
	}
	return k.Run(o.factory.Context(), func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(context.Background(), process.StopTimeout(s))
	})
}
