package factory

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Config holds the arguments of New.
type Config struct {
	// Context is cancelled when the process is asked to stop.
	Context context.Context
	// In is standard input, which a command reads for the file argument "-".
	In io.Reader
	// Out is standard output and receives the results of commands.
	Out io.Writer
	// Err is standard error and receives messages to the user.
	Err io.Writer
}

// Factory provides the dependencies of the commands of one run of the program.
type Factory struct {
	config Config
	// helpShown records that the user asked for help, after which no action runs.
	helpShown bool
}

// New returns a factory with the given context and streams.
func New(c Config) *Factory { return &Factory{config: c} }

// System returns a factory with the standard streams of the process.
func System(ctx context.Context) *Factory {
	return New(Config{Context: ctx, In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}

// Context returns the context that is cancelled when the process is asked to stop.
func (f *Factory) Context() context.Context { return f.config.Context }

// In returns standard input, which a command reads for the file argument "-".
func (f *Factory) In() io.Reader { return f.config.In }

// Out returns standard output, the writer for the results of commands.
func (f *Factory) Out() io.Writer { return f.config.Out }

// Err returns standard error, the writer for messages to the user.
func (f *Factory) Err() io.Writer { return f.config.Err }

// RunError wraps an error that a command returned while it ran, as opposed to an error in its flags or arguments.
type RunError struct {
	cause error
}

// Error implements error.
func (e *RunError) Error() string { return e.cause.Error() }

// Unwrap returns the error of the command.
func (e *RunError) Unwrap() error { return e.cause }

// Action returns run as a kingpin action that wraps errors in *RunError.
// The action does nothing if help was shown, as kingpin then still runs the actions of the command.
func (f *Factory) Action(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if f.helpShown {
			return nil
		}
		if err := run(); err != nil {
			return &RunError{cause: err}
		}
		return nil
	}
}

// MarkHelpShown records that help was shown, so that no action runs.
func (f *Factory) MarkHelpShown() { f.helpShown = true }

// HelpShown reports whether help was shown instead of running a command.
func (f *Factory) HelpShown() bool { return f.helpShown }
