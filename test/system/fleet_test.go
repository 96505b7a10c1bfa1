package system

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// operatorToken is the operators' token of a fleet.
const operatorToken = "test-operator"

// Ports of the listeners, the same on each process's own loopback address.
const (
	messagePort  = 7001
	metricsPort  = 7002
	callerPort   = 7003
	peerPort     = 7004
	backendPort  = 7005
	operatorPort = 7006
	serverPort   = 7007
)

// maxQuorumAgeMillis is how long ago, in milliseconds, a control instance may have been in contact with a quorum to
// answer operators.
const maxQuorumAgeMillis = 4000

var addresses atomic.Uint32

// fleet is a set of processes of one test.
type fleet struct {
	t       testing.TB
	folder  string
	program string
	server  string
	issuer  *issuer // signs a certificate for each process, nil for plain loopback
}

// newFleet builds the programs and returns an empty fleet.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	folder := t.TempDir()
	f := &fleet{
		t:       t,
		folder:  folder,
		program: filepath.Join(folder, "figpier"),
		server:  filepath.Join(folder, "backend"),
	}
	f.build(f.program, "github.com/figpier/figpier/cmd/figpier")
	f.build(f.server, "github.com/figpier/figpier/test/backend")
	return f
}

func (f *fleet) build(output, path string) {
	f.t.Helper()
	out, err := exec.Command("go", "build", "-o", output, path).CombinedOutput()
	assert.NilError(f.t, err, string(out))
}

// process is one process of a fleet.
type process struct {
	fleet     *fleet
	name      string
	ip        string
	arguments []string
	command   *exec.Cmd
	done      chan struct{}
}

func (f *fleet) newProcess(name string) *process {
	n := addresses.Add(1)
	pid := uint32(os.Getpid())
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%126, pid%256, n)
	return &process{fleet: f, name: name, ip: ip}
}

// Address returns the process's loopback address with a port.
func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// messages returns the address for messages.
func (p *process) messages() string { return p.address(messagePort) }

// callers returns the address for callers.
func (p *process) callers() string { return p.address(callerPort) }

// operators returns the address of the operator API.
func (p *process) operators() string { return p.address(operatorPort) }

// metrics returns the address of the metrics.
func (p *process) metrics() string { return p.address(metricsPort) }

// serverAddress returns the address of a backend server.
func (p *process) serverAddress() string { return p.address(serverPort) }

// dataFolder returns the data folder of a control instance.
func (p *process) dataFolder() string { return filepath.Join(p.fleet.folder, p.name+".data") }

// control starts control instances that form one quorum.
func (f *fleet) control(names ...string) []*process {
	f.t.Helper()
	var all []*process
	var replicas []string
	for _, name := range names {
		p := f.newProcess(name)
		all = append(all, p)
		replicas = append(replicas, fmt.Sprintf(`{"instance": %q, "address": %q}`, name, p.messages()))
	}
	tokens := f.tokens()
	for _, p := range all {
		settings := fmt.Sprintf(`{
			// A control instance of a test.
			"instance": %q, "dataCentre": "dc1", "region": "north", %s "messages": %q, "metrics": %q,
			"control": {"dataFolder": %q, "operators": %q, "operatorTokens": %q, "replicas": [%s]},
		}`, p.name, f.security(p), p.messages(), p.metrics(), p.dataFolder(), p.operators(), tokens, strings.Join(replicas, ", "))
		p.arguments = []string{f.program, "control", "run", "--settings", f.write(p.name, settings)}
		p.start()
	}
	return all
}

// node starts a node for a service.
func (f *fleet) node(name, service string, control []*process) *process {
	f.t.Helper()
	var addresses []string
	for _, c := range control {
		addresses = append(addresses, c.messages())
	}
	return f.nodeOf(name, service, addresses...)
}

// nodeOf starts a node for a service that reaches control instances at the given addresses.
func (f *fleet) nodeOf(name, service string, addresses ...string) *process {
	f.t.Helper()
	p := f.newProcess(name)
	var controls []string
	for _, address := range addresses {
		controls = append(controls, fmt.Sprintf("%q", address))
	}
	settings := fmt.Sprintf(`{
		"instance": %q, "dataCentre": "dc1", "region": "north", %s "messages": %q, "metrics": %q,
		"node": {"service": %q, "callers": %q, "peers": %q, "backend": %q, "controls": [%s]},
	}`, name, f.security(p), p.messages(), p.metrics(), service, p.callers(), p.address(peerPort), p.address(backendPort), strings.Join(controls, ", "))
	p.arguments = []string{f.program, "node", "run", "--settings", f.write(name, settings)}
	p.start()
	return p
}

// backend starts a backend server beside a node.
func (f *fleet) backend(name string, node *process, options ...string) *process {
	f.t.Helper()
	p := f.newProcess(name)
	p.arguments = append([]string{f.server, "--address", p.serverAddress(), "--node", node.address(backendPort)}, options...)
	p.start()
	return p
}

// profileText is the profile of the tests.
const profileText = `{
	"name": "p",
	"routes": [
		{"method": "*", "path": "/stream", "priority": 1, "idempotent": true, "deadline": "60s"},
		{"method": "*", "path": "/chain", "priority": 1, "idempotent": true, "deadline": "60s"},
		{"method": "*", "path": "/*", "priority": 1, "idempotent": true, "deadline": "5s"},
	],
	"defaultLimit": {"rate": "100000/s", "burst": 100000},
	"retry": {"treeBudget": 2, "share": 0.1, "callerInterval": "100ms"},
}`

// operate runs a command for operators and returns what it printed.
func (f *fleet) operate(control []*process, arguments ...string) string {
	f.t.Helper()
	var addresses []string
	for _, c := range control {
		addresses = append(addresses, c.operators())
	}
	command := exec.Command(f.program, arguments...)
	command.Env = append(os.Environ(),
		"FIGPIER_OPERATOR_ADDRESS="+strings.Join(addresses, ","),
		"FIGPIER_OPERATOR_TOKEN="+operatorToken,
	)
	if f.issuer != nil {
		command.Env = append(command.Env, "FIGPIER_OPERATOR_AUTHORITY="+f.issuer.file)
	}
	var messages strings.Builder
	command.Stderr = &messages
	out, err := command.Output()
	assert.NilError(f.t, err, messages.String())
	return strings.TrimSpace(string(out))
}

// configure gives services the profile of the tests, and returns a customer's key.
func (f *fleet) configure(control []*process, services ...string) string {
	f.t.Helper()
	waitForListener(f.t, control)
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		var status struct {
			Leader          string `json:"leader"`
			QuorumAgeMillis int    `json:"quorum_age_millis"`
		}
		assert.NilError(f.t, json.Unmarshal([]byte(f.operate(control, "status", "--json")), &status))
		if status.Leader == "" {
			return poll.Continue("no leader")
		}
		if status.QuorumAgeMillis > maxQuorumAgeMillis {
			return poll.Continue("leader %s has not committed an entry of its term", status.Leader)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
	f.operate(control, "profile", "apply", f.write("p", profileText))
	for _, s := range services {
		f.operate(control, "profile", "assign", "p", s)
	}
	return f.operate(control, "key", "give", "acme")
}

func waitForListener(t testing.TB, control []*process) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, c := range control {
			conn, err := net.Dial("tcp", c.operators())
			if err != nil {
				return poll.Continue("%v", err)
			}
			_ = conn.Close()
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
}

// tokens writes the digest of the operators' token.
func (f *fleet) tokens() string {
	digest := sha256.Sum256([]byte(operatorToken))
	return f.write("tokens", hex.EncodeToString(digest[:])+" test\n")
}

func (f *fleet) write(name, text string) string {
	path := filepath.Join(f.folder, name+".jsonc")
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// start starts the process, again if it was started before.
func (p *process) start() {
	p.fleet.t.Helper()
	p.command = exec.Command(p.arguments[0], p.arguments[1:]...)
	output, err := os.OpenFile(filepath.Join(p.fleet.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.fleet.t, err)
	p.command.Stdout = output
	p.command.Stderr = output
	assert.NilError(p.fleet.t, p.command.Start())
	done := make(chan struct{})
	p.done = done
	command := p.command
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(done)
	}()
	p.fleet.t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		<-done
	})
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.fleet.t.Helper()
	assert.NilError(p.fleet.t, p.command.Process.Signal(s))
}

// kill ends the process at once.
func (p *process) kill() {
	p.fleet.t.Helper()
	_ = p.command.Process.Kill()
	<-p.done
}

// wait waits for the process to end and returns its exit code.
func (p *process) wait() int {
	<-p.done
	return p.command.ProcessState.ExitCode()
}

// log returns what the process wrote.
func (p *process) log() string {
	data, _ := os.ReadFile(filepath.Join(p.fleet.folder, p.name+".log"))
	return string(data)
}
