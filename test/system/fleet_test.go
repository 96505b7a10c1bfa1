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

// operatorToken is the token that the control instances of a fleet accept from operators.
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

// maxQuorumAgeMillis is how long ago, in milliseconds, a control instance may have been in contact with a quorum and still
// answer operators.
const maxQuorumAgeMillis = 4000

// lastAddress numbers the loopback addresses of this test process's fleets.
var lastAddress atomic.Uint32

// fleet is the set of processes that one test starts. They end with the test.
type fleet struct {
	t             testing.TB
	folder        string
	figpierBinary string
	backendBinary string
	authority     *certificateAuthority // signs a certificate for each process, nil for plain loopback
}

// newFleet builds the figpier and backend programs and returns a fleet without processes.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	folder := t.TempDir()
	f := &fleet{
		t:             t,
		folder:        folder,
		figpierBinary: filepath.Join(folder, "figpier"),
		backendBinary: filepath.Join(folder, "backend"),
	}
	f.build(f.figpierBinary, "github.com/figpier/figpier/cmd/figpier")
	f.build(f.backendBinary, "github.com/figpier/figpier/test/backend")
	return f
}

// build builds a Go package into an executable file.
func (f *fleet) build(output, path string) {
	f.t.Helper()
	out, err := exec.Command("go", "build", "-o", output, path).CombinedOutput()
	assert.NilError(f.t, err, string(out))
}

// process is one process of a fleet. It may be killed and started again.
type process struct {
	fleet     *fleet
	name      string
	ip        string
	arguments []string
	command   *exec.Cmd
	done      chan struct{}
}

// newProcess returns a process, not yet started, with a loopback address of its own. The address depends on the process ID
// of the test, so that test binaries running at the same time rarely share one.
func (f *fleet) newProcess(name string) *process {
	n := lastAddress.Add(1)
	pid := uint32(os.Getpid())
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%126, pid%256, n)
	return &process{fleet: f, name: name, ip: ip}
}

// address returns the process's loopback address with a port.
func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// messageAddress returns the address of the listener for messages between instances.
func (p *process) messageAddress() string { return p.address(messagePort) }

// callerAddress returns the address of a node's listener for callers.
func (p *process) callerAddress() string { return p.address(callerPort) }

// operatorAddress returns the address of a control instance's operator API.
func (p *process) operatorAddress() string { return p.address(operatorPort) }

// metricsAddress returns the address of the listener for metrics.
func (p *process) metricsAddress() string { return p.address(metricsPort) }

// serverAddress returns the address that a backend server listens on.
func (p *process) serverAddress() string { return p.address(serverPort) }

// dataFolder returns the data folder of a control instance.
func (p *process) dataFolder() string { return filepath.Join(p.fleet.folder, p.name+".data") }

// startControl starts control instances that replicate one log.
func (f *fleet) startControl(names ...string) []*process {
	f.t.Helper()
	var all []*process
	var replicas []string
	for _, name := range names {
		p := f.newProcess(name)
		all = append(all, p)
		replicas = append(replicas, fmt.Sprintf(`{"instance": %q, "address": %q}`, name, p.messageAddress()))
	}
	tokens := f.writeTokens()
	for _, p := range all {
		settings := fmt.Sprintf(`{
			// A control instance of a test.
			"instance": %q, "dataCentre": "dc1", "region": "north", %s "messages": %q, "metrics": %q,
			"control": {"dataFolder": %q, "operators": %q, "operatorTokens": %q, "replicas": [%s]},
		}`, p.name, f.tlsSettings(p), p.messageAddress(), p.metricsAddress(), p.dataFolder(), p.operatorAddress(), tokens, strings.Join(replicas, ", "))
		p.arguments = []string{f.figpierBinary, "control", "run", "--settings", f.writeFile(p.name, settings)}
		p.start()
	}
	return all
}

// startNode starts a node for a service that connects to the given control instances.
func (f *fleet) startNode(name, service string, control []*process) *process {
	f.t.Helper()
	var addresses []string
	for _, c := range control {
		addresses = append(addresses, c.messageAddress())
	}
	return f.startNodeAt(name, service, addresses...)
}

// startNodeAt starts a node for a service that connects to control instances at the given message addresses.
func (f *fleet) startNodeAt(name, service string, addresses ...string) *process {
	f.t.Helper()
	p := f.newProcess(name)
	var controls []string
	for _, address := range addresses {
		controls = append(controls, fmt.Sprintf("%q", address))
	}
	settings := fmt.Sprintf(`{
		"instance": %q, "dataCentre": "dc1", "region": "north", %s "messages": %q, "metrics": %q,
		"node": {"service": %q, "callers": %q, "peers": %q, "backend": %q, "controls": [%s]},
	}`, name, f.tlsSettings(p), p.messageAddress(), p.metricsAddress(), service, p.callerAddress(), p.address(peerPort), p.address(backendPort), strings.Join(controls, ", "))
	p.arguments = []string{f.figpierBinary, "node", "run", "--settings", f.writeFile(name, settings)}
	p.start()
	return p
}

// startBackend starts a backend server that announces itself to a node, unless its options say otherwise.
func (f *fleet) startBackend(name string, node *process, options ...string) *process {
	f.t.Helper()
	p := f.newProcess(name)
	p.arguments = append([]string{f.backendBinary, "--address", p.serverAddress(), "--node", node.address(backendPort)}, options...)
	p.start()
	return p
}

// profileText is the profile that configure applies. Its limit is higher than any test's request rate.
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

// runOperatorCommand runs an operators' command of the figpier program, which must succeed, and returns its output.
func (f *fleet) runOperatorCommand(control []*process, arguments ...string) string {
	f.t.Helper()
	var addresses []string
	for _, c := range control {
		addresses = append(addresses, c.operatorAddress())
	}
	command := exec.Command(f.figpierBinary, arguments...)
	command.Env = append(os.Environ(),
		"FIGPIER_OPERATOR_ADDRESS="+strings.Join(addresses, ","),
		"FIGPIER_OPERATOR_TOKEN="+operatorToken,
	)
	if f.authority != nil {
		command.Env = append(command.Env, "FIGPIER_OPERATOR_AUTHORITY="+f.authority.file)
	}
	var messages strings.Builder
	command.Stderr = &messages
	out, err := command.Output()
	assert.NilError(f.t, err, messages.String())
	return strings.TrimSpace(string(out))
}

// configure waits for a leader that accepts edits, assigns the profile of profileText to services, and returns a key of
// the customer "acme".
func (f *fleet) configure(control []*process, services ...string) string {
	f.t.Helper()
	waitForOperatorListeners(f.t, control)
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		var status struct {
			Leader          string `json:"leader"`
			QuorumAgeMillis int    `json:"quorum_age_millis"`
		}
		assert.NilError(f.t, json.Unmarshal([]byte(f.runOperatorCommand(control, "status", "--json")), &status))
		if status.Leader == "" {
			return poll.Continue("no leader")
		}
		if status.QuorumAgeMillis > maxQuorumAgeMillis {
			return poll.Continue("leader %s has not committed an entry of its term", status.Leader)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
	f.runOperatorCommand(control, "profile", "apply", f.writeFile("p", profileText))
	for _, s := range services {
		f.runOperatorCommand(control, "profile", "assign", "p", s)
	}
	return f.runOperatorCommand(control, "key", "give", "acme")
}

// waitForOperatorListeners waits until all control instances accept connections from operators.
func waitForOperatorListeners(t testing.TB, control []*process) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, c := range control {
			conn, err := net.Dial("tcp", c.operatorAddress())
			if err != nil {
				return poll.Continue("%v", err)
			}
			_ = conn.Close()
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
}

// writeTokens writes the file of operators' tokens, which holds the digest of operatorToken, and returns its path.
func (f *fleet) writeTokens() string {
	digest := sha256.Sum256([]byte(operatorToken))
	return f.writeFile("tokens", hex.EncodeToString(digest[:])+" test\n")
}

// writeFile writes a file NAME.jsonc in the fleet's folder and returns its path.
func (f *fleet) writeFile(name, text string) string {
	path := filepath.Join(f.folder, name+".jsonc")
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// start starts the process, or starts it again after it has ended. Its output is appended to the log.
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

// kill ends the process by SIGKILL and waits for its end.
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

// log returns the process's output since its first start.
func (p *process) log() string {
	data, _ := os.ReadFile(filepath.Join(p.fleet.folder, p.name+".log"))
	return string(data)
}
