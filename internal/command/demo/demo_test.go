package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/internal/command/factory"
)

// The range of ports for the tests is below the ephemeral ports, which the system assigns to outgoing connections.
const (
	firstPort = 10000
	portRange = 20000
	blockSize = 16
)

// findFreePorts returns the first port of a block whose ports were all free when checked.
// The search starts at a block chosen by the process ID, so that test processes that run at once rarely collide.
func findFreePorts(t *testing.T) int {
	t.Helper()
	for n := range portRange / blockSize {
		first := firstPort + (os.Getpid()+n)*blockSize%portRange
		if blockIsFree(first) {
			return first
		}
	}
	t.Fatal("no block of free ports")
	return 0
}

func blockIsFree(first int) bool {
	for port := first; port < first+blockSize; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", loopback, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// newOptions returns the options of "figpier demo --once" with all output written to out.
func newOptions(ctx context.Context, out io.Writer, port int) *options {
	f := factory.New(factory.Config{Context: ctx, Out: out, Err: out})
	return &options{factory: f, once: true, firstPort: port}
}

func TestDemoRunsScenario(t *testing.T) {
	out := &bytes.Buffer{}
	err := newOptions(t.Context(), out, findFreePorts(t)).run()
	assert.NilError(t, err, out.String())
	for _, want := range []string{"\"holds\":1", "already-run", "key-missing", "key-unknown", "all responses are as expected"} {
		assert.Assert(t, strings.Contains(out.String(), want), out.String())
	}
}

// cancellingWriter is a buffer that cancels a context when a write contains a text.
type cancellingWriter struct {
	bytes.Buffer
	text   string
	cancel context.CancelFunc
}

func (w *cancellingWriter) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(w.text)) {
		defer w.cancel()
	}
	return w.Buffer.Write(p)
}

func TestDemoPrintsInstructionsAndStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	out := &cancellingWriter{text: "curl -i", cancel: cancel}
	o := newOptions(ctx, out, findFreePorts(t))
	o.once = false
	assert.NilError(t, o.run())
	assert.Assert(t, strings.Contains(out.String(), "figpier key withdraw"), out.String())
}

func TestDemoFailsWhenPortIsInUse(t *testing.T) {
	l, err := net.Listen("tcp", loopback+":0")
	assert.NilError(t, err)
	defer l.Close()
	out := &bytes.Buffer{}
	err = newOptions(t.Context(), out, l.Addr().(*net.TCPAddr).Port).run()
	assert.ErrorContains(t, err, "address already in use")
}
