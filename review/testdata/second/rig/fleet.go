package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine, which has a loopback address of its own.
const (
	internalPort    = "7000"
	controlPort     = "8540"
	inboundPort     = "8543"
	readinessPort   = "8546"
	applicationPort = "8547"
	outboundPort    = "8548"
	metricsPort     = "9090"
)

// Bounds of the small deployment, those of the site tgp-roster.
const (
	DrainPeriod       = 2 * time.Second
	Contact           = 3 * time.Second
	AckTimeout        = 4 * time.Second
	CatchUp           = 4 * time.Second
	ConfigPropagation = 2 * time.Second
	Recovery          = 15 * time.Second
	HeartbeatInterval = 1500 * time.Millisecond
)

// Fleet holds the processes of one run.
type Fleet struct {
	Record *Record
	// Folder is a temporary folder for settings, disks and logs.
	Folder string

	root     string
	prefix   string // of the addresses
	machines int
	seeds    []string

	mu        sync.Mutex
	processes []*Process
}

// NewFleet returns a fleet without processes. The current folder must be that of the repository.
func NewFleet(r *Record) (*Fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "figpier")); err != nil {
		return nil, fmt.Errorf("the program of the deploy file is not built: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: r, Folder: folder, root: root}
	for range 100 {
		f.prefix = fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if f.portsFree() {
			return f, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// portsFree reports whether the ports of the first machines can be listened on.
func (f *Fleet) portsFree() bool {
	for n := 1; n <= 12; n++ {
		for _, port := range []string{internalPort, controlPort, inboundPort, readinessPort, applicationPort, outboundPort, metricsPort} {
			l, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("%s.%d", f.prefix, n), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// newAddress returns the address of another machine.
func (f *Fleet) newAddress() string {
	f.machines++
	return fmt.Sprintf("%s.%d", f.prefix, f.machines)
}

// Close kills all processes that still run and removes the temporary folder.
func (f *Fleet) Close() {
	f.mu.Lock()
	all := f.processes
	f.mu.Unlock()
	for _, p := range all {
		p.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Folder)
	}
}

// Process is one of the project's programs on a machine.
type Process struct {
	Name    string
	Address string

	fleet    *Fleet
	argument []string
	template string
	settings string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// fields returns the values of the placeholders that all templates share.
func (f *Fleet) fields(name, address, zone string) map[string]string {
	return map[string]string{
		"node_name": name, "zone": zone, "region": "dakar", "ip": address,
		"internal_port_range.0":              internalPort,
		"listen_addresses.control_plane":     net.JoinHostPort(address, controlPort),
		"listen_addresses.inbound":           net.JoinHostPort(address, inboundPort),
		"listen_addresses.outbound":          net.JoinHostPort(address, outboundPort),
		"listen_addresses.readiness_address": net.JoinHostPort(address, readinessPort),
		"application_address":                net.JoinHostPort(address, applicationPort),
		"bounds.revocation":                  "5000ms", "bounds.config_propagation": "2000ms",
		"bounds.drain_period": "2000ms", "bounds.grace_period": "6s", "bounds.retry_window": "10s",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "47",
		"bounds.quota_window": "5s", "bounds.quota_overage": "0.1", "bounds.quota_slack": "20",
	}
}

// render fills in a template as the platform does, for the placeholders that the templates here use.
func (f *Fleet) render(template string, fields map[string]string) (string, error) {
	text, err := os.ReadFile(filepath.Join(f.root, template))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, s := range f.seeds {
		seeds = append(seeds, `"`+s+`"`)
	}
	out := strings.ReplaceAll(string(text), `{{#seed_nodes}}"{{.}}"{{,}}{{/seed_nodes}}`, strings.Join(seeds, ","))
	for name, value := range fields {
		out = strings.ReplaceAll(out, "{{"+name+"}}", value)
	}
	if at := strings.Index(out, "{{"); at >= 0 {
		return "", fmt.Errorf("%s has a placeholder that is not known here: %.40s", template, out[at:])
	}
	return out, nil
}

// newProcess writes the settings of a process that is not started yet.
func (f *Fleet) newProcess(name, address, template string, argument []string, fields map[string]string) (*Process, error) {
	p := &Process{Name: name, Address: address, fleet: f, argument: argument, template: template}
	p.settings = filepath.Join(f.Folder, name+".conf")
	if err := p.writeSettings(fields); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

func (p *Process) writeSettings(fields map[string]string) error {
	text, err := p.fleet.render(p.template, fields)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// Start starts the process with its settings.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.fleet.Folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(filepath.Join(p.fleet.root, "target", "figpier"), p.argument...)
	c.Dir = p.fleet.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGPIER_CONFIG=" + p.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.exited = c, make(chan struct{})
	go func(exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(p.exited)
	p.fleet.Record.Printf("%s started at %s", p.Name, p.Address)
	return nil
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		p.fleet.Record.Printf("%s gets the signal %q", p.Name, s)
		_ = p.command.Process.Signal(s)
	}
}

// Kill kills the process if it runs, and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// LogHolds reports whether the log of the process holds a text.
func (p *Process) LogHolds(text string) bool {
	data, err := os.ReadFile(filepath.Join(p.fleet.Folder, p.Name+".log"))
	return err == nil && strings.Contains(string(data), text)
}

// Control is a control instance on a machine of the core.
type Control struct {
	*Process
	losses int
	zone   string
}

// NewControls returns n control instances on new machines, the first three of which are the seeds of all that are added later.
func (f *Fleet) NewControls(n, losses int) ([]*Control, error) {
	var addresses []string
	for range n {
		addresses = append(addresses, f.newAddress())
	}
	for _, a := range addresses[:min(n, 3)] {
		f.seeds = append(f.seeds, net.JoinHostPort(a, controlPort))
	}
	var all []*Control
	for i, a := range addresses {
		c, err := f.newControl(fmt.Sprintf("core-%d", i+1), a, losses, true)
		if err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	return all, nil
}

// AddControl returns a control instance on a machine that is added later, with an empty disk.
func (f *Fleet) AddControl(name string, losses int) (*Control, error) {
	return f.newControl(name, f.newAddress(), losses, false)
}

func (f *Fleet) newControl(name, address string, losses int, first bool) (*Control, error) {
	c := &Control{losses: losses, zone: "dakar-a"}
	p, err := f.newProcess(name, address, "deploy/control.jsonc", []string{"control", "run"}, c.controlFields(f, name, address, first))
	c.Process = p
	return c, err
}

func (c *Control) controlFields(f *Fleet, name, address string, first bool) map[string]string {
	fields := f.fields(name, address, c.zone)
	fields["is_bootstrap"] = fmt.Sprint(first)
	fields["fault_tolerance.machines"] = fmt.Sprint(c.losses)
	fields["data_directory"] = filepath.Join(f.Folder, name+".data")
	return fields
}

// Restart starts the process again after its end, with the settings of a machine that does not start for the first time.
func (c *Control) Restart() error {
	if err := c.writeSettings(c.controlFields(c.fleet, c.Name, c.Address, false)); err != nil {
		return err
	}
	return c.Start()
}

// URL returns the address of the configuration.
func (c *Control) URL() string {
	return "http://" + net.JoinHostPort(c.Address, controlPort) + "/figpier/configuration"
}

// Node is a node with its upstream on a sidecar machine.
type Node struct {
	*Process
	Service string
}

// AddNode returns a node on a new machine.
func (f *Fleet) AddNode(name, service string) (*Node, error) {
	address := f.newAddress()
	fields := f.fields(name, address, "dakar-a")
	fields["service"] = service
	p, err := f.newProcess(name, address, "deploy/node.jsonc", []string{"node", "run"}, fields)
	return &Node{Process: p, Service: service}, err
}

// Outbound returns the address to which clients on the machine send requests.
func (n *Node) Outbound() string { return net.JoinHostPort(n.Address, outboundPort) }

// Application returns the address of the upstream.
func (n *Node) Application() string { return net.JoinHostPort(n.Address, applicationPort) }

// HeartbeatAddress returns the address to which the upstream sends its heartbeats.
func (n *Node) HeartbeatAddress() string { return net.JoinHostPort(n.Address, controlPort) }

// ReadinessURL returns the URL of the readiness check.
func (n *Node) ReadinessURL() string {
	return "http://" + net.JoinHostPort(n.Address, readinessPort) + "/figpier/readiness"
}

// Memory returns the memory that the process has allocated and holds, in bytes, and false if it does not run.
func (p *Process) Memory() (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0, false
	}
	select {
	case <-p.exited:
		return 0, false
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10, true
		}
	}
	return 0, false
}
