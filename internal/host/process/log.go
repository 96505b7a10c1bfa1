package process

import (
	"io"
	"log"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/host/logs"
	"github.com/figpier/figpier/internal/host/settings"
)

// NewLog returns the logger of a process and redirects the standard library's logger to it.
func NewLog(s *settings.Settings, output io.Writer) (*logrus.Entry, error) {
	l, err := logs.New(logs.Config{
		Output:   output,
		Level:    s.LogLevel(),
		Instance: figpier.InstanceID(s.Instance()),
	})
	if err != nil {
		return nil, err
	}
	log.SetFlags(0)
	log.SetOutput(logs.NewStandardWriter(l))
	return l, nil
}
