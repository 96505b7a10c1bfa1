package logs

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
)

// Error is the class of errors from setting up the log.
var Error = errs.Class("logs")

// Names of the fields of a log line; FieldLeftOut is the number of lines that were dropped before this one.
const (
	FieldInstance  = "instance"
	FieldRequestID = "requestId"
	FieldCustomer  = "customer"
	FieldService   = "service"
	FieldReason    = "reason"
	FieldNotRun    = "notRun"
	FieldLeftOut   = "leftOut"
	FieldMember    = "member"
	FieldStatus    = "status"
	FieldMillis    = "millis"
	// FieldTable is the number of the node's routing table, FieldRevision the revision of its configuration, and FieldViewAge how long
	// ago that was last known to be the accepted one, in milliseconds.
	FieldTable    = "table"
	FieldRevision = "revision"
	FieldViewAge  = "viewAgeMillis"
)

// Config configures New.
type Config struct {
	// Output receives one JSON object per line.
	Output io.Writer
	// Level is the lowest level that is written: "error", "warn", "info" or "debug", and "info" if empty.
	Level string
	// Instance is the name of the process, which every line has in FieldInstance.
	Instance figpier.InstanceID
}

// New returns the logger of a process, or an Error if the level is unknown.
func New(c Config) (*logrus.Entry, error) {
	level, err := ParseLevel(c.Level)
	if err != nil {
		return nil, err
	}
	l := logrus.New()
	l.SetOutput(c.Output)
	l.SetLevel(level)
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return l.WithField(FieldInstance, string(c.Instance)), nil
}

// ParseLevel returns the level with a name, "info" if the name is empty, or an Error if it is unknown.
func ParseLevel(name string) (logrus.Level, error) {
	if name == "" {
		return logrus.InfoLevel, nil
	}
	level, err := logrus.ParseLevel(name)
	if err != nil {
		return logrus.InfoLevel, Error.New("log level %q: want error, warn, info or debug", name)
	}
	return level, nil
}
