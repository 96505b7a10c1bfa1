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

// Error is the class of errors of the demonstration.
var Error = errs.Class("demo")

// defaultFirstPort is text, as kingpin takes the defaults of flags.
const defaultFirstPort = "7300"

// options holds the dependencies and the flags of the command.
type options struct {
	factory   *factory.Factory
	once      bool
	firstPort int
}

// Register adds the command "figpier demo".
func Register(app *kingpin.Application, f *factory.Factory) {
	o := &options{factory: f}
	c := app.Command("demo", "Run a control instance, two nodes and two sample backend servers in this process.")
	c.HelpLong(`  figpier demo --once
  figpier demo`)
	c.Flag("once", "Run through the demonstration, print the responses and exit.").BoolVar(&o.once)
	c.Flag("first-port", "First of the consecutive loopback ports that the demonstration listens on.").Default(defaultFirstPort).IntVar(&o.firstPort)
	c.Action(f.Action(o.run))
}

// run runs the fleet in the background until the scenario is done or, without --once, until the process is asked to stop.
// It also stops when a part of the fleet fails, and returns that error.
func (o *options) run() error {
	folder, err := os.MkdirTemp("", "figpier-demo-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	f, err := newFleet(o.factory, folder, o.firstPort)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(o.factory.Context())
	defer cancel(nil)
	ended := make(chan error, 1)
	go func() {
		err := f.run(ctx)
		cancel(err)
		ended <- err
	}()
	scenarioErr := o.runScenario(ctx, newScenario(f))
	if !o.once && scenarioErr == nil {
		<-ctx.Done()
	}
	http.DefaultClient.CloseIdleConnections()
	cancel(nil)
	if err := <-ended; err != nil {
		return Error.Wrap(err)
	}
	if errors.Is(scenarioErr, context.Canceled) {
		return nil
	}
	return scenarioErr
}

// runScenario prepares the fleet and then runs the steps or, without --once, prints instructions.
func (o *options) runScenario(ctx context.Context, s *scenario) error {
	if err := s.prepare(ctx); err != nil {
		return err
	}
	if o.once {
		return s.runSteps(ctx)
	}
	return o.printInstructions(s)
}

// printInstructions prints commands to try while the fleet runs.
func (o *options) printInstructions(s *scenario) error {
	return print.Line(o.factory.Out(), `A control instance, two nodes and two backend servers run until Ctrl-C. In another terminal:

  export %s=%s %s=%s
  export KEY=%s

  # read a day as a caller; booking calls calendar
  curl -i -H "Figpier-Key: $KEY" http://%s/days/%s
  # hold the day, then send the same hold again
  curl -i -X POST -H "Figpier-Key: $KEY" -H "Idempotency-Key: hold-1" http://%s/holds/%s
  # commands for operators
  figpier status
  figpier profile view %s
  figpier key withdraw %s
  # metrics of the booking node
  curl -s http://%s/metrics | grep figpier_

The settings files are in %s.`,
		apiflags.EnvAddress, s.fleet.operatorAddress, apiflags.EnvToken, s.fleet.token,
		s.key, s.fleet.callerAddress, sampleDay, s.fleet.callerAddress, sampleDay,
		profileName, s.keyID, s.fleet.metricsAddress, s.fleet.folder)
}
