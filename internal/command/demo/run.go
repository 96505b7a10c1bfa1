package demo

import (
	"context"
	"errors"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"github.com/figpier/figpier/internal/command/apiflags"
	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/print"
)

// Error is the class of failures of the demonstration.
var Error = errs.Class("demo")

const defaultFirstPort = "7300"

// options are the flags of the command.
type options struct {
	factory   *factory.Factory
	once      bool
	firstPort int
}

// Register adds the command.
func Register(app *kingpin.Application, f *factory.Factory) {
	o := &options{factory: f}
	c := app.Command("demo", "Run a control instance, two nodes and two sample backend servers inside this process.")
	c.HelpLong(`  figpier demo --once
  figpier demo`)
	c.Flag("once", "Drive the demonstration, print the answers and end.").BoolVar(&o.once)
	c.Flag("first-port", "First of the loopback ports that the demonstration takes.").Default(defaultFirstPort).IntVar(&o.firstPort)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	folder, err := os.MkdirTemp("", "figpier-demo-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	t, err := newFleet(o.factory, folder, o.firstPort)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(o.factory.Context())
	defer cancel(nil)
	ended := make(chan error, 1)
	go func() {
		err := t.run(ctx)
		cancel(err)
		ended <- err
	}()
	driveErr := o.drive(ctx, newJob(t))
	if !o.once && driveErr == nil {
		<-ctx.Done()
	}
	http.DefaultClient.CloseIdleConnections()
	cancel(nil)
	if err := <-ended; err != nil {
		return Error.Wrap(err)
	}
	if errors.Is(driveErr, context.Canceled) {
		return nil
	}
	return driveErr
}

func (o *options) drive(ctx context.Context, j *job) error {
	if err := j.prepare(ctx); err != nil {
		return err
	}
	if o.once {
		return j.run(ctx)
	}
	return o.explain(j)
}

// explain prints what a user may try while the fleet runs.
func (o *options) explain(j *job) error {
	return print.Line(o.factory.Out(), `A control instance, two nodes and two backend servers run until Ctrl-C. In another terminal:

  export %s=%s %s=%s
  export KEY=%s

  # a caller's look at a day, over booking and calendar
  curl -i -H "Figpier-Key: $KEY" http://%s/days/%s
  # a hold, and the same hold sent again
  curl -i -X POST -H "Figpier-Key: $KEY" -H "Idempotency-Key: hold-1" http://%s/holds/%s
  # what operators do while traffic runs
  figpier status
  figpier profile view %s
  figpier key withdraw %s
  # what happened, counted
  curl -s http://%s/metrics | grep figpier_

The settings files are in %s.`,
		apiflags.EnvAddress, j.fleet.operators, apiflags.EnvToken, j.fleet.token,
		j.key, j.fleet.callers, sampleDay, j.fleet.callers, sampleDay,
		profileName, j.keyID, j.fleet.metrics, j.fleet.folder)
}
