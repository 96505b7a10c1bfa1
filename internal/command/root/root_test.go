package root

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/command/apiflags"
	"github.com/figpier/figpier/internal/command/factory"
	"github.com/figpier/figpier/internal/control/catalog"
	"github.com/figpier/figpier/internal/control/operator"
	"github.com/figpier/figpier/internal/control/replica"
	"github.com/figpier/figpier/internal/host/memory"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
	"github.com/figpier/figpier/internal/link/jsonrpc"
)

const (
	operatorToken = "a-token"
	profileFile   = `{
  "name": "booking", // the venue's booking service
  "routes": [{"method": "GET", "path": "/*", "priority": 3, "idempotent": true, "deadline": "2s"}],
  "defaultLimit": {"rate": "100/s", "burst": 50},
  "retry": {"treeBudget": 2, "share": 0.1, "callerInterval": "100ms"},
}
`
)

// controlFixture holds the files that a test passes to commands while one control instance runs.
type controlFixture struct {
	t   *testing.T
	dir string
}

// result holds a command's exit code and what it wrote to standard output and standard error.
type result struct {
	code     int
	out, err string
}

// startControl runs a control instance until the test ends and points the environment of the commands to it.
func startControl(t *testing.T) *controlFixture {
	t.Helper()
	l := logrus.New()
	l.SetOutput(io.Discard)
	api := operator.New(operator.Config{
		Instance: "control-1",
		Address:  "127.0.0.1:0",
		Tokens:   []operator.Token{operator.NewToken(operator.TokenConfig{Operator: "amina", Digest: sha256.Sum256([]byte(operatorToken))})},
		Log:      logrus.NewEntry(l),
	})
	k := registry.New(registry.Config{Clock: system.Clock{}})
	log := replica.New(replica.Config{Instance: "control-1", DataFolder: t.TempDir()})
	store := catalog.New()
	log.SetStateMachine(store)
	assert.NilError(t, k.Register(memory.New(memory.Config{})))
	assert.NilError(t, k.Register(jsonrpc.New(jsonrpc.Config{AnswerTimeout: time.Second})))
	assert.NilError(t, k.Register(log))
	assert.NilError(t, k.Register(store))
	assert.NilError(t, k.Register(api))
	signal := &startSignal{started: make(chan struct{})}
	assert.NilError(t, k.Register(signal))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- k.Run(ctx, func() (context.Context, context.CancelFunc) { return context.WithTimeout(ctx, time.Minute) })
	}()
	t.Cleanup(func() { stop(); <-done })
	<-signal.started
	t.Setenv(apiflags.EnvAddress, api.Address())
	t.Setenv(apiflags.EnvToken, operatorToken)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := run("profile", "list"); got.code != ExitOK {
			return poll.Continue("%s", got.err)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	return &controlFixture{t: t, dir: t.TempDir()}
}

// writeFile writes a file into the directory of the fixture and returns its path.
func (f *controlFixture) writeFile(name, text string) string {
	path := filepath.Join(f.dir, name)
	assert.NilError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs one command, with profileFile as its standard input.
func run(arguments ...string) result {
	out, messages := &bytes.Buffer{}, &bytes.Buffer{}
	f := factory.New(factory.Config{
		Context: context.Background(),
		In:      strings.NewReader(profileFile),
		Out:     out,
		Err:     messages,
	})
	code := Run(arguments, f)
	return result{code: code, out: out.String(), err: messages.String()}
}

func TestOperatorWorkflow(t *testing.T) {
	s := startControl(t)
	file := s.writeFile("booking.jsonc", profileFile)
	assert.Equal(t, run("profile", "apply", file).out, "profile booking is at revision 2\n")
	second := run("profile", "apply", "-")
	assert.Equal(t, second.out, "profile booking is at revision 3\n", second.err)
	assert.Equal(t, run("profile", "assign", "booking", "dates").out, "service dates has profile booking at revision 4\n")
	assert.Equal(t, run("profile", "list").out, "NAME     REVISION  ROUTES  SERVICES\nbooking  3         1       dates\n")
	assert.Equal(t, run("assignment", "list").out, "SERVICE  PROFILE  REVISION\ndates    booking  4\n")

	view := run("profile", "view", "booking")
	again := s.writeFile("again.jsonc", view.out)
	assert.Equal(t, run("profile", "apply", again, "--base", "3").out, "profile booking is at revision 5\n")

	given := run("key", "give", "valv")
	assert.Assert(t, strings.HasPrefix(given.out, "fpk_"))
	keys := struct {
		Keys []struct{ ID, Customer string }
	}{}
	assert.NilError(t, json.Unmarshal([]byte(run("key", "list", "--json").out), &keys))
	assert.Equal(t, keys.Keys[0].Customer, "valv")
	assert.Assert(t, strings.Contains(run("status", "--json").out, `"quorum_age_millis": `))
	assert.Equal(t, run("key", "withdraw", keys.Keys[0].ID).code, ExitOK)
	assert.Equal(t, run("key", "list").out, "ID  CUSTOMER  REVISION\n")
	status := run("status")
	assert.Assert(t, strings.Contains(status.out, "leader          control-1\n"), status.out)
}

func TestResendReturnsFirstAnswer(t *testing.T) {
	startControl(t)
	first := run("profile", "apply", "-", "--operation", "op-1")
	assert.Equal(t, run("profile", "apply", "-", "--operation", "op-1").out, first.out)
	assert.Assert(t, strings.HasPrefix(run("key", "give", "valv", "--operation", "op-2").out, "fpk_"))
	again := run("key", "give", "valv", "--operation", "op-2")
	assert.Equal(t, again.out, "")
	assert.Assert(t, strings.Contains(again.err, "figpier key withdraw"))
}

func TestFailuresHaveExitCodesAndHints(t *testing.T) {
	s := startControl(t)
	file := s.writeFile("booking.jsonc", profileFile)
	broken := s.writeFile("broken.jsonc", strings.Replace(profileFile, `"2s"`, "2", 1))
	assert.Equal(t, run("profile", "apply", file).code, ExitOK)
	assert.Equal(t, run("profile", "assign", "booking", "dates").code, ExitOK)
	tests := []struct {
		name      string
		arguments string
		code      int
		wantError string
	}{
		{"unknown command", "profile frob", ExitUsage, "figpier help"},
		{"missing argument", "profile apply", ExitUsage, "required argument 'file'"},
		{"no such file", "profile apply none.jsonc", ExitFailure, "none.jsonc"},
		{"broken file", "profile apply " + broken, ExitInvalid, broken + ":3: routes[0].deadline: want a text with a unit"},
		{"old base", "profile apply " + file + " --base 1", ExitConflict, "at revision 2"},
		{"no such profile to assign", "profile assign none dates", ExitInvalid, "does not exist: apply it first"},
		{"profile in use", "profile delete booking", ExitInvalid, "assign another first"},
		{"no such profile to view", "profile view none", ExitNotFound, "there is no profile \"none\""},
		{"wrong token", "status --token wrong", ExitUnauthorized, "token file"},
		{"no listener", "status --address 127.0.0.1:1", ExitUnreached, "127.0.0.1:1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := run(strings.Fields(tt.arguments)...)
			assert.Equal(t, got.code, tt.code, got.err)
			assert.Assert(t, strings.Contains(got.err, tt.wantError), got.err)
			assert.Equal(t, got.out, "")
		})
	}
}

func TestClientTriesNextAddress(t *testing.T) {
	startControl(t)
	addresses := "127.0.0.1:1," + os.Getenv(apiflags.EnvAddress)
	assert.Equal(t, run("status", "--address", addresses).code, ExitOK)
}

func TestLostAnswerReportsUnknownOutcome(t *testing.T) {
	startControl(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	got := run("key", "give", "valv", "--operation", "op-9", "--address", l.Addr().String())
	assert.Equal(t, got.code, ExitOutcomeUnknown)
	assert.Assert(t, strings.Contains(got.err, "--operation op-9"))
}

func TestHelpShowsExamplesWithoutRunning(t *testing.T) {
	t.Setenv(apiflags.EnvAddress, "127.0.0.1:1")
	for _, arguments := range []string{"help profile apply", "profile apply --help"} {
		got := run(strings.Fields(arguments)...)
		assert.Equal(t, got.code, ExitOK, got.err)
		assert.Assert(t, strings.Contains(got.out, "figpier profile apply booking.jsonc --base 7"), got.out)
	}
	assert.Assert(t, strings.HasPrefix(run("version").out, "figpier "))
	assert.Assert(t, !strings.Contains(run("version", "--help").out, "(go"), "the command ran")
}

// startSignal is a service that closes a channel when every service registered before it has started.
type startSignal struct {
	started chan struct{}
}

func (s *startSignal) Name() figpier.ServiceName { return "test.started" }

func (s *startSignal) Start(context.Context, figpier.Directory) error {
	close(s.started)
	return nil
}

func (s *startSignal) Stop(context.Context) error { return nil }

func TestExitCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operations/commands.md")
	assert.NilError(t, err)
	for code := ExitOK; code <= ExitOutcomeUnknown; code++ {
		assert.Assert(t, strings.Contains(string(page), "\n| "+strconv.Itoa(code)+" | "), "exit code %d is missing", code)
	}
}
