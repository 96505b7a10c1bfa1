package settings

import (
	"os"
	"slices"
	"strconv"
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
	maxDuration     = time.Hour
	minMemory       = 32      // megabytes
	maxMemory       = 1 << 20 // megabytes
)

var logLevels = []string{"error", "warn", "info", "debug"}

// Read reads and checks a settings file, and checks that the files that it names can be opened. It returns an Error if the
// settings file can't be read, and a *jsonc.ProblemsError if its content is invalid.
func Read(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return parse(path, data, checkReadable)
}

// Parse checks the text of a settings file but not the files that it names. Problems show name as the name of the file. It returns
// a *jsonc.ProblemsError if the text is invalid.
func Parse(name string, data []byte) (*Settings, error) {
	return parse(name, data, func(*jsonc.Field, string) {})
}

// reader reads settings and collects their addresses, which checkEndpoints compares.
type reader struct {
	// checkFile reports a problem with the file at a path that the settings name.
	checkFile func(f *jsonc.Field, path string)
	endpoints []endpoint
}

func parse(name string, data []byte, checkFile func(*jsonc.Field, string)) (*Settings, error) {
	d, err := jsonc.ParseRendered(name, data)
	if err != nil {
		return nil, err
	}
	r := &reader{checkFile: checkFile}
	s := &Settings{processSettings: r.readProcess(d.Root()), path: name}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// checkReadable reports a problem with the field if the file at path can't be opened.
func checkReadable(f *jsonc.Field, path string) {
	file, err := os.Open(path)
	if err != nil {
		f.Failf("the file can't be read: %v", err)
		return
	}
	_ = file.Close()
}

// readProcess reads the object at the top level of the file.
func (r *reader) readProcess(o *jsonc.Object) processSettings {
	s := processSettings{
		Instance:   readName(o.Required("instance")),
		DataCentre: readName(o.Required("dataCentre")),
		Region:     readName(o.Required("region")),
		LogLevel:   readLogLevel(o.Optional("logLevel")),
		Messages:   r.readListenAddress(o.Required("messages"), connectableAddress),
		Metrics:    r.readListenAddress(o.Optional("metrics"), anyAddress),
	}
	s.PrivateNetwork = o.Optional("privateNetwork").Bool()
	s.Memory = memoryOfEnvironment()
	if f := o.Optional("memory"); f.IsSet() {
		s.Memory = int(f.Integer(minMemory, maxMemory))
	}
	if f := o.Optional("tls"); f.IsSet() {
		s.TLS = r.readTLS(f.Object())
	}
	if f := o.Optional("node"); f.IsSet() {
		s.Node = r.readNode(f.Object())
	}
	if f := o.Optional("mesh"); f.IsSet() {
		s.Mesh = r.readMesh(f.Object(), s)
	}
	if f := o.Optional("control"); f.IsSet() {
		s.Control = r.readControl(f.Object(), s)
	}
	if s.Node == nil && s.Control == nil && s.Mesh == nil {
		o.Failf("want a section \"node\", \"mesh\" or \"control\"")
	}
	o.RejectUnknown()
	r.checkEndpoints(s.TLS != nil || s.PrivateNetwork)
	return s
}

// memoryOfEnvironment returns the megabytes in MemoryVariable, or 0 where it has no usable number: a process must start without it.
func memoryOfEnvironment() int {
	megabytes, err := strconv.ParseFloat(os.Getenv(MemoryVariable), 64)
	if err != nil || !(megabytes >= minMemory && megabytes <= maxMemory) {
		return 0
	}
	return int(megabytes)
}

// readTLS reads the section "tls".
func (r *reader) readTLS(o *jsonc.Object) *TLSSettings {
	s := &TLSSettings{
		Authority:   r.readFilePath(o.Required("authority")),
		Certificate: r.readFilePath(o.Required("certificate")),
		Key:         r.readFilePath(o.Required("key")),
	}
	o.RejectUnknown()
	return s
}

// readNode reads the section "node".
func (r *reader) readNode(o *jsonc.Object) *NodeSettings {
	s := &NodeSettings{
		Service:      readName(o.Required("service")),
		Callers:      r.readListenAddress(o.Required("callers"), anyAddress),
		Peers:        r.readListenAddress(o.Required("peers"), connectableAddress),
		Backend:      r.readListenAddress(o.Required("backend"), loopbackAddress),
		Freshness:    readDuration(o.Optional("freshness"), maxFreshness),
		Announcement: readDuration(o.Optional("announcement"), maxAnnouncement),
		Leaving:      readDuration(o.Optional("leaving"), maxDuration),
		Grace:        readDuration(o.Optional("grace"), maxDuration),
	}
	controls := o.Required("controls")
	controls.EachElement(func(f *jsonc.Field) {
		a := r.readRemoteAddress(f)
		if slices.Contains(s.Controls, a) {
			f.Failf("duplicate address")
		}
		s.Controls = append(s.Controls, a)
	})
	if controls.IsSet() && len(s.Controls) == 0 {
		controls.Failf("the list is empty: want the message address of at least one control instance")
	}
	o.RejectUnknown()
	return s
}

// readControl reads the section "control". A control instance with seeds has other fields than one with a list of replicas.
func (r *reader) readControl(o *jsonc.Object, p processSettings) *ControlSettings {
	if f := o.Optional("seeds"); f.IsSet() {
		return r.readSeededControl(o, f, p)
	}
	s := &ControlSettings{
		DataFolder:     readPath(o.Required("dataFolder")),
		Operators:      r.readListenAddress(o.Required("operators"), anyAddress),
		OperatorTokens: r.readFilePath(o.Required("operatorTokens")),
	}
	replicas := o.Required("replicas")
	replicas.EachElement(func(f *jsonc.Field) {
		s.Replicas = append(s.Replicas, r.readReplica(f.Object(), s.Replicas, p))
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

// readReplica reads one entry of the list of replicas and compares it with the entries before it.
func (r *reader) readReplica(o *jsonc.Object, others []ReplicaSettings, p processSettings) ReplicaSettings {
	instance, address := o.Required("instance"), o.Required("address")
	s := ReplicaSettings{Instance: readName(instance), Address: r.readRemoteAddress(address)}
	for _, m := range others {
		if m.Instance == s.Instance {
			instance.Failf("another control instance has this name")
		}
		if m.Address == s.Address {
			address.Failf("another control instance has this address")
		}
	}
	if s.Instance == p.Instance && s.Address != p.Messages {
		address.Failf("the address differs from this instance's address in \"messages\", %q", p.Messages)
	}
	o.RejectUnknown()
	return s
}

// readFilePath reads the path of a file that must exist.
func (r *reader) readFilePath(f *jsonc.Field) string {
	s := readPath(f)
	if f.Valid() {
		r.checkFile(f, s)
	}
	return s
}

// readPath reads a path and does not access the file system.
func readPath(f *jsonc.Field) string {
	s := f.Text()
	if f.Valid() && (s == "" || len(s) > maxPathLength || strings.ContainsRune(s, 0)) {
		f.Failf("want a path of 1 to %d bytes", maxPathLength)
	}
	return s
}

// readName reads the name of an instance, a data centre, a region or a service.
func readName(f *jsonc.Field) string {
	s := f.Text()
	if detail, ok := profile.CheckName(s); f.Valid() && !ok {
		f.Failf("%s", detail)
	}
	return s
}

func readLogLevel(f *jsonc.Field) string {
	s := f.Text()
	if f.Valid() && !slices.Contains(logLevels, s) {
		f.Failf("want one of %s", strings.Join(logLevels, ", "))
	}
	return s
}

// readDuration reads a duration of at least minDuration.
func readDuration(f *jsonc.Field, maximum time.Duration) Duration {
	return Duration(f.Duration(minDuration, maximum))
}
