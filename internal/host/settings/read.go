package settings

import (
	"os"
	"slices"
	"strings"
	"time"

	"github.com/figpier/figpier/internal/host/jsonc"
	"github.com/figpier/figpier/internal/host/profile"
)

// Bounds of the settings.
const (
	maxPathLength   = 4096 // bytes
	maxReplicas     = 9
	minDuration     = 100 * time.Millisecond
	maxFreshness    = 4 * time.Second
	maxAnnouncement = time.Minute
	maxStop         = time.Hour
)

var logLevels = []string{"error", "warn", "info", "debug"}

// Read reads and checks a settings file and that the files that it names exist, or returns an Error or a *jsonc.ProblemsError.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return parse(path, data, readable)
}

// Parse checks the text of a settings file without a look at other files, or returns a *jsonc.ProblemsError; the name stands for the file.
func Parse(name string, data []byte) (*Settings, error) {
	return parse(name, data, func(*jsonc.Field, string) {})
}

// reader fills settings and collects the addresses to hold against one another.
type reader struct {
	checkFile func(f *jsonc.Field, path string)
	endpoints []endpoint
}

func parse(name string, data []byte, checkFile func(*jsonc.Field, string)) (*Settings, error) {
	d, err := jsonc.Parse(name, data)
	if err != nil {
		return nil, err
	}
	r := &reader{checkFile: checkFile}
	s := &Settings{processSettings: r.process(d.Root()), path: name}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func readable(f *jsonc.Field, path string) {
	file, err := os.Open(path)
	if err != nil {
		f.Failf("the file can't be read: %v", err)
		return
	}
	_ = file.Close()
}

func (r *reader) process(o *jsonc.Object) processSettings {
	s := processSettings{
		Instance:   name(o.Required("instance")),
		DataCentre: name(o.Required("dataCentre")),
		Region:     name(o.Required("region")),
		LogLevel:   logLevel(o.Optional("logLevel")),
		Messages:   r.listener(o.Required("messages"), reachable),
		Metrics:    r.listener(o.Optional("metrics"), anyAddress),
	}
	s.Private = o.Optional("privateNetwork").Bool()
	if f := o.Optional("tls"); f.IsSet() {
		s.TLS = r.security(f.Object())
	}
	if f := o.Optional("node"); f.IsSet() {
		s.Node = r.node(f.Object())
	}
	if f := o.Optional("mesh"); f.IsSet() {
		s.Mesh = r.mesh(f.Object(), s)
	}
	if f := o.Optional("control"); f.IsSet() {
		s.Control = r.control(f.Object(), s)
	}
	if s.Node == nil && s.Control == nil && s.Mesh == nil {
		o.Failf("the file has neither a section \"node\" nor a section \"mesh\" nor a section \"control\"")
	}
	o.RejectUnknown()
	r.checkEndpoints(s.TLS != nil || s.Private)
	return s
}

func (r *reader) security(o *jsonc.Object) *TLSSettings {
	s := &TLSSettings{
		Authority:   r.file(o.Required("authority")),
		Certificate: r.file(o.Required("certificate")),
		Key:         r.file(o.Required("key")),
	}
	o.RejectUnknown()
	return s
}

func (r *reader) node(o *jsonc.Object) *NodeSettings {
	s := &NodeSettings{
		Service:      name(o.Required("service")),
		Callers:      r.listener(o.Required("callers"), anyAddress),
		Peers:        r.listener(o.Required("peers"), reachable),
		Backend:      r.listener(o.Required("backend"), loopback),
		Freshness:    duration(o.Optional("freshness"), maxFreshness),
		Announcement: duration(o.Optional("announcement"), maxAnnouncement),
		Leaving:      duration(o.Optional("leaving"), maxStop),
		Grace:        duration(o.Optional("grace"), maxStop),
	}
	controls := o.Required("controls")
	controls.EachElement(func(f *jsonc.Field) {
		a := r.remote(f)
		if slices.Contains(s.Controls, a) {
			f.Failf("the address is written twice")
		}
		s.Controls = append(s.Controls, a)
	})
	if controls.IsSet() && len(s.Controls) == 0 {
		controls.Failf("the list is empty: write the message address of at least one control instance")
	}
	o.RejectUnknown()
	return s
}

func (r *reader) control(o *jsonc.Object, p processSettings) *ControlSettings {
	if f := o.Optional("seeds"); f.IsSet() {
		return r.seeded(o, f, p)
	}
	s := &ControlSettings{
		DataFolder:     path(o.Required("dataFolder")),
		Operators:      r.listener(o.Required("operators"), anyAddress),
		OperatorTokens: r.file(o.Required("operatorTokens")),
	}
	replicas := o.Required("replicas")
	replicas.EachElement(func(f *jsonc.Field) {
		s.Replicas = append(s.Replicas, r.replica(f.Object(), s.Replicas, p))
	})
	switch {
	case !replicas.IsSet():
	case len(s.Replicas) > maxReplicas:
		replicas.Failf("want at most %d control instances", maxReplicas)
	case !slices.ContainsFunc(s.Replicas, func(m ReplicaSettings) bool { return m.Instance == p.Instance }):
		replicas.Failf("this instance, %q, is not in the list", p.Instance)
	}
	o.RejectUnknown()
	return s
}

func (r *reader) replica(o *jsonc.Object, others []ReplicaSettings, p processSettings) ReplicaSettings {
	instance, address := o.Required("instance"), o.Required("address")
	s := ReplicaSettings{Instance: name(instance), Address: r.remote(address)}
	for _, m := range others {
		if m.Instance == s.Instance {
			instance.Failf("another control instance has this name")
		}
		if m.Address == s.Address {
			address.Failf("another control instance has this address")
		}
	}
	if s.Instance == p.Instance && s.Address != p.Messages {
		address.Failf("this instance has another address in \"messages\", %q", p.Messages)
	}
	o.RejectUnknown()
	return s
}

func (r *reader) file(f *jsonc.Field) string {
	s := path(f)
	if f.Valid() {
		r.checkFile(f, s)
	}
	return s
}

func path(f *jsonc.Field) string {
	s := f.Text()
	if f.Valid() && (s == "" || len(s) > maxPathLength || strings.ContainsRune(s, 0)) {
		f.Failf("want a path of 1 to %d bytes", maxPathLength)
	}
	return s
}

func name(f *jsonc.Field) string {
	s := f.Text()
	if detail, ok := profile.CheckName(s); f.Valid() && !ok {
		f.Failf("%s", detail)
	}
	return s
}

func logLevel(f *jsonc.Field) string {
	s := f.Text()
	if f.Valid() && !slices.Contains(logLevels, s) {
		f.Failf("want one of %s", strings.Join(logLevels, ", "))
	}
	return s
}

func duration(f *jsonc.Field, most time.Duration) Duration {
	return Duration(f.Duration(minDuration, most))
}
