package profileapply

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"github.com/figpier/figpier/gen/http/operator/server"
	"github.com/figpier/figpier/internal/command/apiflags"
	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/print"
	"github.com/figpier/figpier/internal/host/profile"
	"github.com/figpier/figpier/internal/link/operator"
)

// Error is the class of errors in reading the profile file.
var Error = errs.Class("profile apply")

// standardInput is the argument and the file name in messages that stand for standard input.
// Kingpin passes this argument on as an empty string.
const standardInput = "-"

// options holds the dependencies and the flags and arguments of the command.
type options struct {
	factory *factory.Factory
	api     *apiflags.Options
	edit    *apiflags.EditOptions
	file    string
}

// Register adds the command to its parent, "figpier profile".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("apply", "Create or update a profile from a profile file.")
	c.HelpLong(`  figpier profile apply booking.jsonc
  figpier profile apply booking.jsonc --base 7
  figpier profile view booking | figpier profile apply -`)
	c.Arg("file", "Profile file, JSON with comments, or - for standard input.").Required().StringVar(&o.file)
	o.api = apiflags.Add(c)
	o.edit = apiflags.AddEditWithBase(c)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	text, err := o.readFile()
	if err != nil {
		return Error.Wrap(err)
	}
	p, err := profile.Parse(o.file, text)
	if err != nil {
		return err
	}
	client, err := o.api.Client()
	if err != nil {
		return err
	}
	ctx, name := o.factory.Context(), string(p.Name())
	edit, err := o.edit.Config(func() (int64, error) { return profileRevision(ctx, client, name) })
	if err != nil {
		return err
	}
	receipt, err := client.ApplyProfile(ctx, edit, name, string(text))
	if err != nil {
		return err
	}
	if o.api.JSON {
		return print.JSON(o.factory.Out(), server.NewApplyProfileResponseBody(receipt))
	}
	return print.Line(o.factory.Out(), "profile %s is at revision %d", name, receipt.Revision)
}

// readFile reads the profile file, or standard input, which may have up to profile.MaxSize bytes.
func (o *options) readFile() ([]byte, error) {
	if o.file == standardInput || o.file == "" {
		o.file = standardInput
		text, err := io.ReadAll(io.LimitReader(o.factory.In(), profile.MaxSize+1))
		if err == nil && len(text) > profile.MaxSize {
			return nil, Error.New("standard input has more than %d bytes: a profile is at most that large", profile.MaxSize)
		}
		return text, err
	}
	return os.ReadFile(o.file)
}

// profileRevision returns the profile's revision, or 0 if the profile does not exist.
func profileRevision(ctx context.Context, c *operator.Client, name string) (int64, error) {
	v, err := c.Profile(ctx, name)
	var failure *operator.FailureError
	if errors.As(err, &failure) && failure.Name() == operator.FailureNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return v.Revision, nil
}
