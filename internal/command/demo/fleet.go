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
	// stopTimeout bounds the planned stop of a node or control instance.
	stopTimeout = 10 * time.Second
)

// files holds the templates of the settings files, and the profile file.
//
//go:embed control.jsonc node.jsonc profile.jsonc
var files embed.FS

// component runs a node, a control instance or a backend server until its context ends.
type component func(ctx context.Context) error

// fleet is a control instance and two nodes with a backend server each, which run in this process.
type fleet struct {
	factory         *factory.Factory
	folder          string
	nextPort        int
	token           string
	operatorAddress string
	callerAddress   string // of the booking node
	metricsAddress  string // of the booking node
	components      []component
}

// templateSettings holds the values for the templates of the settings files.
// All but Folder and Service are IP addresses and ports; Control is the address for messages to the control instance.
type templateSettings struct {
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

// newFleet writes the settings files into a folder and builds the components from them, without starting any.
// The fleet listens on consecutive ports from firstPort.
func newFleet(deps *factory.Factory, folder string, firstPort int) (*fleet, error) {
	f := &fleet{factory: deps, folder: folder, nextPort: firstPort, token: rand.Text()}
	if err := f.writeTokenFile(); err != nil {
		return nil, err
	}
	messages, err := f.addControl()
	if err != nil {
		return nil, err
	}
	booking, err := f.addNode(sample.BookingService, messages, sample.NewBooking)
	if err != nil {
		return nil, err
	}
	f.callerAddress, f.metricsAddress = booking.Callers, booking.Metrics
	_, err = f.addNode(sample.CalendarService, messages, sample.NewCalendar)
	return f, err
}

// writeTokenFile writes the file with the digest of the operator token, which the control instance reads.
func (f *fleet) writeTokenFile() error {
	digest := sha256.Sum256([]byte(f.token))
	line := hex.EncodeToString(digest[:]) + " demo\n"
	return Error.Wrap(os.WriteFile(filepath.Join(f.folder, "tokens"), []byte(line), 0o600))
}

// nextAddress returns the loopback address with the next port.
func (f *fleet) nextAddress() string {
	f.nextPort++
	return fmt.Sprintf("%s:%d", loopback, f.nextPort-1)
}

// addControl adds the control instance and returns its address for messages.
func (f *fleet) addControl() (messages string, err error) {
	v := templateSettings{Folder: f.folder, Messages: f.nextAddress(), Operators: f.nextAddress()}
	s, err := f.writeSettings("control.jsonc", "control-1.jsonc", v)
	if err != nil {
		return "", err
	}
	l, err := process.NewLog(s, f.factory.Err())
	if err != nil {
		return "", err
	}
	k, err := process.NewControl(s, l)
	f.operatorAddress = v.Operators
	f.components = append(f.components, kernelComponent(k))
	return v.Messages, err
}

// addNode adds a node and its backend server, and returns the addresses in the settings of the node.
func (f *fleet) addNode(service figpier.UpstreamService, controlAddress string, newServer func(sample.Config) *sample.Server) (templateSettings, error) {
	v := templateSettings{
		Service:  service,
		Messages: f.nextAddress(),
		Metrics:  f.nextAddress(),
		Callers:  f.nextAddress(),
		Peers:    f.nextAddress(),
		Backend:  f.nextAddress(),
		Control:  controlAddress,
	}
	s, err := f.writeSettings("node.jsonc", string(service)+"-1.jsonc", v)
	if err != nil {
		return v, err
	}
	l, err := process.NewLog(s, f.factory.Err())
	if err != nil {
		return v, err
	}
	k, err := process.NewNode(s, l)
	if err != nil {
		return v, err
	}
	server := newServer(sample.Config{Address: f.nextAddress(), NodeAddress: v.Backend})
	f.components = append(f.components, kernelComponent(k), server.Run)
	return v, nil
}

// writeSettings fills a template, writes the settings file and reads it as a process does when it starts.
func (f *fleet) writeSettings(templateName, fileName string, v templateSettings) (*settings.Settings, error) {
	text, err := template.ParseFS(files, templateName)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	path := filepath.Join(f.folder, fileName)
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

// kernelComponent returns a component that starts the services of a kernel and stops them when its context ends.
func kernelComponent(k *registry.Kernel) component {
	return func(ctx context.Context) error {
		return k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		})
	}
}

// run runs all components until the context ends or one of them fails.
// It waits until all have stopped and returns the first error.
func (f *fleet) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, len(f.components))
	for _, c := range f.components {
		go func() { ended <- c(ctx) }()
	}
	var first error
	for range f.components {
		if err := <-ended; err != nil && first == nil {
			first = err
			cancel()
		}
	}
	return first
}

// client returns a client of the operator API.
func (f *fleet) client() *operator.Client {
	return operator.New(operator.Config{Addresses: []string{f.operatorAddress}, Token: f.token})
}
