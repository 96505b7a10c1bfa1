package bed

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Bounds of the deployment, as in the settings that the platform renders.
const (
	Contact     = 3 * time.Second
	Drain       = 2 * time.Second
	Grace       = 6 * time.Second
	LostSlack   = 200 * time.Millisecond
	Propagation = 2 * time.Second
	Heartbeat   = 1500 * time.Millisecond
)

// runLimit is the greatest duration of a run.
const runLimit = 110 * time.Second

// Ports that every machine uses.
const (
	portMessages  = "7000"
	portControl   = "8540"
	portInbound   = "8543"
	portReadiness = "8546"
	portOutbound  = "8548"
)

// PortUpstream is the port of every upstream.
const PortUpstream = "8547"

// Program is the program that the deploy file's build line makes, relative to the repository root.
const Program = "target/figpier"

// Bed holds the processes and the record of one run of a case.
type Bed struct {
	// Trouble is false if the run shall leave out the disruption.
	Trouble bool

	folder  string
	record  *os.File
	started time.Time

	mu        sync.Mutex
	processes []*Process
	machines  int
	seeds     []string
	losses    int
}

// New returns a bed that records to record.txt in the case's folder, which is the program's only argument. The working directory
// is the repository root.
func New() *Bed {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER, in the repository root")
		os.Exit(NotRun)
	}
	b := &Bed{Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if b.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if b.folder, err = os.MkdirTemp("", "figpier-review-"); err != nil {
		b.Fail("%v", err)
	}
	time.AfterFunc(runLimit, func() { b.Fail("the run took longer than %v", runLimit) })
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	go func() { b.Fail("%v", <-ends) }()
	b.Note("run with the disruption: %t", b.Trouble)
	return b
}

// Note adds a line to the record, with the seconds since the start.
func (b *Bed) Note(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, arguments...))
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = b.record.WriteString(line)
}

// Since returns the seconds from the start of the run to a time.
func (b *Bed) Since(t time.Time) float64 { return t.Sub(b.started).Seconds() }

// Fail ends a run that can't show anything.
func (b *Bed) Fail(format string, arguments ...any) {
	b.Note("could not run: "+format, arguments...)
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", arguments...)
	b.close()
	os.Exit(NotRun)
}

// End ends all processes and the run, with the exit code of its result.
func (b *Bed) End(broken bool) {
	result, code := "the rule held", Held
	if broken {
		result, code = "the rule was broken", Broken
	}
	b.Note("%s", result)
	fmt.Println(result)
	b.close()
	os.Exit(code)
}

// close kills all processes that are left and removes the folder, which is kept if the environment asks for the logs.
func (b *Bed) close() {
	b.mu.Lock()
	all := b.processes
	b.mu.Unlock()
	for _, p := range all {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		p.Wait(5 * time.Second)
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs are in", b.folder)
		return
	}
	_ = os.RemoveAll(b.folder)
}

// newMachine returns the loopback address of a new machine. Addresses depend on the process, so that runs do not collide.
func (b *Bed) newMachine() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.machines++
	return fmt.Sprintf("127.%d.%d.%d", 80+os.Getpid()%100, 1+(os.Getpid()/100)%250, b.machines)
}

// Process is one process of the system on a machine of its own.
type Process struct {
	bed       *Bed
	Name      string
	IP        string
	Zone      string
	arguments []string
	settings  string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (b *Bed) newProcess(name, ip, zone string, arguments ...string) *Process {
	p := &Process{bed: b, Name: name, IP: ip, Zone: zone, arguments: arguments, settings: filepath.Join(b.folder, name+".conf")}
	b.mu.Lock()
	b.processes = append(b.processes, p)
	b.mu.Unlock()
	return p
}

// start starts the program with the settings that its template makes of the fields.
func (p *Process) start(template string, fields map[string]any) {
	text, err := os.ReadFile(template)
	if err != nil {
		p.bed.Fail("%v", err)
	}
	if err := os.WriteFile(p.settings, []byte(render(string(text), fields)), 0o600); err != nil {
		p.bed.Fail("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(p.bed.folder, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.bed.Fail("%v", err)
	}
	defer log.Close()
	c := exec.Command(Program, p.arguments...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FIGPIER_CONFIG=" + p.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		p.bed.Fail("%v", err)
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		p.bed.Note("platform: %s has exited: %v", p.Name, c.ProcessState)
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.exited = c, exited
	p.bed.Note("platform: started %s at %s in zone %s", p.Name, p.IP, p.Zone)
}

// Signal sends a signal to the process, unless it has exited.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// Wait waits for the process to exit, and returns false if it has not after the time.
func (p *Process) Wait(d time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// Terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace time.
func (p *Process) Terminate() {
	p.bed.Note("platform: SIGTERM to %s", p.Name)
	p.Signal(syscall.SIGTERM)
	if p.Wait(Grace) {
		return
	}
	p.bed.Note("platform: SIGKILL to %s at the end of its grace time", p.Name)
	p.Signal(syscall.SIGKILL)
	p.Wait(5 * time.Second)
}

// fields returns the settings that all machines have.
func (b *Bed) fields(name, ip, zone string) map[string]any {
	return map[string]any{
		"node_name": name, "ip": ip, "zone": zone, "region": "dakar",
		"internal_port_range.0":          portMessages,
		"listen_addresses.control_plane": net.JoinHostPort(ip, portControl),
		"listen_addresses.inbound":       net.JoinHostPort(ip, portInbound),
		"listen_addresses.outbound":      net.JoinHostPort(ip, portOutbound),
		"listen_addresses.readiness_address": net.JoinHostPort(ip,
			portReadiness),
		"application_address":       net.JoinHostPort(ip, PortUpstream),
		"seed_nodes":                b.seeds,
		"is_bootstrap":              "true",
		"fault_tolerance.machines":  fmt.Sprint(b.losses),
		"bounds.grace_period":       "6s",
		"bounds.quota_window":       "5s",
		"bounds.quota_overage":      "0.1",
		"bounds.quota_slack":        "20",
		"bounds.revocation":         "5000ms",
		"bounds.drain_period":       "2000ms",
		"bounds.retry_window":       "10s",
		"bounds.retry_budget_ratio": "0.2",
		"bounds.retry_budget_slack": "47",
	}
}

// maxSeeds is the number of control instances that the settings name.
const maxSeeds = 3

// StartControls starts control instances, each in a zone of its own. Less than half of them may be lost at the same time.
func (b *Bed) StartControls(count int) []*Process {
	b.losses = (count - 1) / 2
	var all []*Process
	for i := range count {
		ip := b.newMachine()
		all = append(all, b.newProcess(fmt.Sprintf("core-%d", i+1), ip, fmt.Sprintf("zone-%d", i+1), "control", "run"))
		if len(b.seeds) < maxSeeds {
			b.seeds = append(b.seeds, net.JoinHostPort(ip, portControl))
		}
	}
	for _, p := range all {
		p.startControl()
	}
	return all
}

func (p *Process) startControl() {
	fields := p.bed.fields(p.Name, p.IP, p.Zone)
	fields["data_directory"] = filepath.Join(p.bed.folder, p.Name)
	p.start("deploy/control.jsonc", fields)
}

// Node is a node with the machine that it shares with an upstream and clients.
type Node struct {
	*Process
	Service string
}

// StartNode starts a node for a service on a new machine.
func (b *Bed) StartNode(name, service, zone string) *Node {
	n := &Node{Process: b.newProcess(name, b.newMachine(), zone, "node", "run"), Service: service}
	n.Start()
	return n
}

// Start starts the node's process, also again after it has exited.
func (n *Node) Start() {
	fields := n.bed.fields(n.Name, n.IP, n.Zone)
	fields["service"] = n.Service
	n.start("deploy/node.jsonc", fields)
}

// Outbound is the address that the clients and the upstream of the machine send their requests to.
func (n *Node) Outbound() string { return net.JoinHostPort(n.IP, portOutbound) }

// Ready asks the node once, as the platform does each second.
func (n *Node) Ready() bool {
	status, _ := ask(http.MethodGet, "http://"+net.JoinHostPort(n.IP, portReadiness)+"/figpier/readiness", "")
	return status == http.StatusOK
}

// AwaitReady waits until the node is ready, and fails the run if it is not in time.
func (n *Node) AwaitReady() {
	if !Await(20*time.Second, n.Ready) {
		n.bed.Fail("%s is not ready", n.Name)
	}
}

// Await waits until a condition is met, for at most a time.
func Await(limit time.Duration, met func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if met() {
			return true
		}
	}
	return false
}

// Configure sends the first configuration until it is accepted, and fails the run if it is not in time.
func (b *Bed) Configure(routes, services []string) {
	if !b.TryConfigure(20*time.Second, routes, services) {
		b.Fail("no configuration was accepted")
	}
}

// TryConfigure sends the first configuration until it is accepted, for at most a time, and returns whether it was.
func (b *Bed) TryConfigure(limit time.Duration, routes, services []string) bool {
	return b.PutConfiguration(limit, Configuration{Version: 1, Routes: routes, Services: services, Tenants: []string{TenantRow}})
}

// Configuration is a configuration that the operator sends.
type Configuration struct {
	Version, Base uint32
	// Routes, Services and Tenants are rows as JSON texts.
	Routes, Services, Tenants []string
}

// body returns the body of the operator's call.
func (c Configuration) body() string {
	return fmt.Sprintf(`{"version":"%08x","routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency",`+
		`"priority","service","max_attempts","public","weighted_services"],"rows":[%s]},"services":{"columns":["name","health_path",`+
		`"max_connections","protocol","tls"],"rows":[%s]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,`+
		`"header_timeout":"3000ms","idle_timeout":"15000ms"},"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],`+
		`"rows":[%s]},"base_version":"%08x"}`, c.Version, strings.Join(c.Routes, ","), strings.Join(c.Services, ","),
		strings.Join(c.Tenants, ","), c.Base)
}

// PutConfiguration sends a configuration until it is acknowledged, for at most a time, and returns whether it was.
func (b *Bed) PutConfiguration(limit time.Duration, c Configuration) bool {
	answers := map[string]int{}
	accepted := func() bool {
		for _, seed := range b.seeds {
			status, err := ask(http.MethodPut, "http://"+seed+"/figpier/configuration", c.body())
			if status == http.StatusOK {
				return true
			}
			answers[fmt.Sprintf("%d %v", status, err)]++
		}
		return false
	}
	if !Await(limit, accepted) {
		b.Note("operator: configuration %08x was not acknowledged within %v; answers: %v", c.Version, limit, answers)
		return false
	}
	b.Note("operator: configuration %08x was acknowledged", c.Version)
	return true
}

// Key is the key of the only tenant in the configuration, and Tenant is its name.
const (
	Key    = "6wsjnbanfqasnmgkcuyj"
	Tenant = "pulo780"
)

// TenantRow is the row of that tenant, which has no limit.
const TenantRow = `["` + Tenant + `",["` + Key + `"],1,0,0]`

// Route returns the row of a route for Configure. Requests with the key may use it unless it is public.
func Route(name, host, prefix, kind string, timeout time.Duration, service string, public bool) string {
	return fmt.Sprintf(`[%q,%q,%q,%q,"%dms","1500ms",1,%q,2,%t,null]`, name, host, prefix, kind, timeout.Milliseconds(), service, public)
}

// Service returns the row of a service for Configure.
func Service(name string) string { return fmt.Sprintf(`[%q,"/health",562,"h1",false]`, name) }

// ask sends a call of the platform's interfaces, and returns its status, 0 for none within a second.
func ask(method, url, body string) (int, error) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	answer, err := (&http.Client{Timeout: time.Second}).Do(r)
	if err != nil {
		return 0, err
	}
	return answer.StatusCode, errors.Join(answer.Body.Close())
}
