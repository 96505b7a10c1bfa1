package apiflags

import (
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"github.com/figpier/figpier/internal/link/operator"
)

// Error is the class of errors in the values of the flags and in the files that they name.
var Error = errs.Class("operator flags")

// Environment variables that are read when the corresponding flag is not given.
const (
	EnvAddress   = "FIGPIER_OPERATOR_ADDRESS"
	EnvToken     = "FIGPIER_OPERATOR_TOKEN"
	EnvTokenFile = "FIGPIER_OPERATOR_TOKEN_FILE"
	EnvAuthority = "FIGPIER_OPERATOR_AUTHORITY"
)

// Options holds the flags for connecting to the operator API and for the output format.
type Options struct {
	// Address lists the IP addresses and ports of control instances, separated by commas.
	Address string
	// Token is the operator's token and takes precedence over TokenFile.
	Token string
	// TokenFile is the path of a file with the operator's token; white space around the token is ignored.
	TokenFile string
	// Authority is the path of the PEM file of the certificate authority that signed the API's certificate.
	// It is empty for plain HTTP on loopback.
	Authority string
	// JSON selects JSON output instead of text.
	JSON bool
}

// Add adds the flags of Options to a command.
func Add(c *kingpin.CmdClause) *Options {
	o := &Options{}
	c.Flag("address", "IP addresses and ports of the operator API, separated by commas.").Envar(EnvAddress).Required().StringVar(&o.Address)
	c.Flag("token", "Operator's token; --token-file keeps it out of the process list.").Envar(EnvToken).StringVar(&o.Token)
	c.Flag("token-file", "File that contains the operator's token.").Envar(EnvTokenFile).StringVar(&o.TokenFile)
	c.Flag("authority", "PEM file of the certificate authority that signed the API's certificate.").Envar(EnvAuthority).StringVar(&o.Authority)
	c.Flag("json", "Write JSON.").BoolVar(&o.JSON)
	return o
}

// Client reads the files that the flags name and returns a client of the operator API; it does not connect yet.
func (o *Options) Client() (*operator.Client, error) {
	token, err := o.readToken()
	if err != nil {
		return nil, err
	}
	tlsConfig, err := o.tlsConfig()
	if err != nil {
		return nil, err
	}
	return operator.New(operator.Config{
		Addresses: strings.Split(o.Address, ","),
		Token:     token,
		TLS:       tlsConfig,
	}), nil
}

func (o *Options) readToken() (string, error) {
	if o.Token != "" {
		return o.Token, nil
	}
	if o.TokenFile == "" {
		return "", Error.New("no operator token: use --token-file or set %s", EnvToken)
	}
	data, err := os.ReadFile(o.TokenFile)
	if err != nil {
		return "", Error.Wrap(err)
	}
	return strings.TrimSpace(string(data)), nil
}

// tlsConfig returns nil for plain HTTP if no certificate authority is given.
func (o *Options) tlsConfig() (*tls.Config, error) {
	if o.Authority == "" {
		return nil, nil
	}
	data, err := os.ReadFile(o.Authority)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, Error.New("%s contains no PEM certificate", o.Authority)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// baseNotGiven is the value of EditOptions.Base for an edit based on the current revision of the object.
const baseNotGiven = -1

// EditOptions holds the flags of a command that edits an object.
type EditOptions struct {
	// Operation is the operation ID of an earlier edit to resend, or empty for a new edit.
	Operation string
	// Base is the revision that the edit is based on, 0 to create the object, or baseNotGiven.
	Base int64
}

// AddEdit adds the flags of an edit that is not based on a revision to a command.
func AddEdit(c *kingpin.CmdClause) *EditOptions {
	o := &EditOptions{Base: baseNotGiven}
	c.Flag("operation", "Operation ID of an earlier edit to resend.").StringVar(&o.Operation)
	return o
}

// AddEditWithBase adds the flags of an edit that is based on a revision of the object to a command.
func AddEditWithBase(c *kingpin.CmdClause) *EditOptions {
	o := AddEdit(c)
	c.Flag("base", "Revision that the edit is based on, 0 to create the object; the current revision when not given.").Default("-1").Int64Var(&o.Base)
	return o
}

// Config returns the operation ID and the base revision of an edit.
// Without the flag --operation it generates a random ID, and without --base it calls readRevision for the current revision.
// A nil readRevision is for edits that are not based on a revision.
func (o *EditOptions) Config(readRevision func() (int64, error)) (operator.EditConfig, error) {
	e := operator.EditConfig{Operation: o.Operation, Base: o.Base}
	if e.Operation == "" {
		e.Operation = rand.Text()
	}
	if o.Base != baseNotGiven || readRevision == nil {
		return e, nil
	}
	base, err := readRevision()
	e.Base = base
	return e, err
}
