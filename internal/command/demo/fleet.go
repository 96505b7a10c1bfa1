package demo

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"embed"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"text/template"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/command/sample"
	"github.com/figpier/figpier/internal/host/process"
	"github.com/figpier/figpier/internal/host/settings"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/link/operator"
)

const (
	loopback    = "127.0.0.1"
	profileFile = "profile.jsonc"
	graceOfStop = 10 * time.Second
)

//go:embed control.jsonc node.jsonc profile.jsonc
var files embed.FS

// member is one part of the fleet that runs until its context ends.
type member func(ctx context.Context) error

// fleet is a control instance, two nodes and their backend servers.
type fleet struct {
	factory   *factory.Factory
	folder    string
	nextPort  int
	token     string
	operators string
	callers   string
	metrics   string
	members   []member
}

// fileSettings fill the templates of the settings files.
type fileSettings struct {
	Folder    string
	Service   figpier.UpstreamService
	Messages  string
	Metrics   string
	Operators string
	Callers   string
	Peers     string
	Backend   string
	Control   string
}

// newFleet writes the settings files into a folder and builds the members from them.
func newFleet(f *factory.Factory, folder string, firstPort int) (*fleet, error) {
	t := &fleet{factory: f, folder: folder, nextPort: firstPort, token: rand.Text()}
	if err := t.writeTokens(); err != nil {
		return nil, err
	}
	messages, err := t.addControl()
	if err != nil {
		return nil, err
	}
	booking, err := t.addNode(sample.BookingService, messages, sample.NewBooking)
	if err != nil {
		return nil, err
	}
	t.callers, t.metrics = booking.Callers, booking.Metrics
	_, err = t.addNode(sample.CalendarService, messages, sample.NewCalendar)
	return t, err
}

func (t *fleet) writeTokens() error {
	digest := sha256.Sum256([]byte(t.token))
	line := hex.EncodeToString(digest[:]) + " demo\n"
	return Error.Wrap(os.WriteFile(filepath.Join(t.folder, "tokens"), []byte(line), 0o600))
}

func (t *fleet) address() string {
	t.nextPort++
	return fmt.Sprintf("%s:%d", loopback, t.nextPort-1)
}

func (t *fleet) addControl() (messages string, err error) {
	v := fileSettings{Folder: t.folder, Messages: t.address(), Operators: t.address()}
	s, err := t.settings("control.jsonc", "control-1.jsonc", v)
	if err != nil {
		return "", err
	}
	l, err := process.NewLog(s, t.factory.Err())
	if err != nil {
		return "", err
	}
	k, err := process.NewControl(s, l)
	t.operators = v.Operators
	t.members = append(t.members, runKernel(k))
	return v.Messages, err
}

func (t *fleet) addNode(service figpier.UpstreamService, control string, newServer func(sample.Config) *sample.Server) (fileSettings, error) {
	v := fileSettings{
		Service:  service,
		Messages: t.address(),
		Metrics:  t.address(),
		Callers:  t.address(),
		Peers:    t.address(),
		Backend:  t.address(),
		Control:  control,
	}
	s, err := t.settings("node.jsonc", string(service)+"-1.jsonc", v)
	if err != nil {
		return v, err
	}
	l, err := process.NewLog(s, t.factory.Err())
	if err != nil {
		return v, err
	}
	k, err := process.NewNode(s, l)
	if err != nil {
		return v, err
	}
	server := newServer(sample.Config{Address: t.address(), NodeAddress: v.Backend})
	t.members = append(t.members, runKernel(k), server.Run)
	return v, nil
}

// settings writes a settings file and reads it as a process does at its start.
func (t *fleet) settings(name, file string, v fileSettings) (*settings.Settings, error) {
	text, err := template.ParseFS(files, name)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	path := filepath.Join(t.folder, file)
	w, err := os.Create(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := text.Execute(w, v); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return settings.Read(path)
}

func runKernel(k *registry.Kernel) member {
	return func(ctx context.Context) error {
		return k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.WithoutCancel(ctx), graceOfStop)
		})
	}
}

// run runs all members until the context ends or one of them fails, and returns the first failure.
func (t *fleet) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, len(t.members))
	for _, m := range t.members {
		go func() { ended <- m(ctx) }()
	}
	var first error
	for range t.members {
		if err := <-ended; err != nil && first == nil {
			first = err
			cancel()
		}
	}
	return first
}

func (t *fleet) client() *operator.Client {
	return operator.New(operator.Config{Addresses: []string{t.operators}, Token: t.token})
}
