package settingscheck

import (
	"github.com/alecthomas/kingpin/v2"

	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/print"
	"github.com/figpier/figpier/internal/control/operator"
	"github.com/figpier/figpier/internal/host/certificate"
	"github.com/figpier/figpier/internal/host/settings"
)

// options holds the dependencies and the arguments of the command.
type options struct {
	factory *factory.Factory
	files   []string
}

// Register adds the command to its parent, "figpier settings".
func Register(parent *kingpin.CmdClause, f *factory.Factory) {
	o := &options{factory: f}
	c := parent.Command("check", "Check settings files as a process does when it starts.")
	c.HelpLong(`  figpier settings check node.jsonc
  figpier settings check /etc/figpier/*.jsonc`)
	c.Arg("file", "Settings file, JSON with comments.").Required().StringsVar(&o.files)
	c.Action(f.Action(o.run))
}

func (o *options) run() error {
	for _, file := range o.files {
		if err := checkFile(file); err != nil {
			return err
		}
		if err := print.Line(o.factory.Out(), "%s: ok", file); err != nil {
			return err
		}
	}
	return nil
}

// checkFile reads a settings file and the certificate and token files that it names.
func checkFile(file string) error {
	s, err := settings.Read(file)
	if err != nil {
		return err
	}
	if _, err := certificate.Load(s.TLS()); err != nil {
		return err
	}
	if c := s.Control(); c != nil {
		_, err = operator.ReadTokens(c.OperatorTokens)
	}
	return err
}
