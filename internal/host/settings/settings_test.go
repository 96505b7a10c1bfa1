package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/internal/host/jsonc"
)

const nodeFile = `{
  // A node beside a backend server of "dates".
  "instance": "node-a", "dataCentre": "dc1", "region": "north",
  "messages": "127.0.0.1:7001",
  "metrics": "127.0.0.1:7002",
  "node": {
    "service": "dates",
    "callers": "127.0.0.1:7003",
    "peers": "127.0.0.1:7004",
    "backend": "127.0.0.1:7005",
    "controls": ["127.0.0.2:7001"],
    "freshness": "2s",
  },
}
`

const controlFile = `{
  "instance": "control-1", "dataCentre": "dc1", "region": "north",
  "messages": "127.0.0.1:7001",
  "control": {
    "dataFolder": "data",
    "operators": "127.0.0.1:7006",
    "operatorTokens": "tokens",
    "replicas": [
      {"instance": "control-1", "address": "127.0.0.1:7001"},
      {"instance": "control-2", "address": "127.0.0.2:7001"},
    ],
  },
}
`

func TestParse(t *testing.T) {
	s, err := Parse("node", []byte(nodeFile))
	assert.NilError(t, err)
	assert.Equal(t, s.Node().Freshness.Or(time.Minute), 2*time.Second)
	assert.Equal(t, s.Node().Grace.Or(time.Minute), time.Minute)
	assert.DeepEqual(t, s.Node().Controls, []string{"127.0.0.2:7001"})
	assert.Equal(t, s.Metrics(), "127.0.0.1:7002")
	assert.Assert(t, s.Control() == nil)

	s, err = Parse("control", []byte(controlFile))
	assert.NilError(t, err)
	assert.Equal(t, s.Control().Replicas[1].Address, "127.0.0.2:7001")
}

func TestParseRejectsInvalidFile(t *testing.T) {
	tests := []struct {
		name, file, old, replacement string
		line                         int
		field                        string
	}{
		{"unknown field", nodeFile, `"freshness": "2s"`, `"freshnes": "2s"`, 12, "node.freshnes"},
		{"field in the wrong place", nodeFile, `"metrics"`, `"callers"`, 5, "callers"},
		{"missing instance", nodeFile, `"instance": "node-a", `, ``, 1, "instance"},
		{"missing service", nodeFile, `"service": "dates",`, ``, 6, "node.service"},
		{"duration without unit", nodeFile, `"2s"`, `2`, 12, "node.freshness"},
		{"duration text without unit", nodeFile, `"2s"`, `"2"`, 12, "node.freshness"},
		{"freshness above the bound", nodeFile, `"2s"`, `"5s"`, 12, "node.freshness"},
		{"host name", nodeFile, `"127.0.0.1:7003"`, `"localhost:7003"`, 8, "node.callers"},
		{"host name of a control instance", nodeFile, `"127.0.0.2:7001"`, `"control:7001"`, 11, "node.controls[0]"},
		{"no port", nodeFile, `"127.0.0.1:7003"`, `"127.0.0.1"`, 8, "node.callers"},
		{"port 0", nodeFile, `"127.0.0.1:7003"`, `"127.0.0.1:0"`, 8, "node.callers"},
		{"port clash", nodeFile, `"127.0.0.1:7003"`, `"127.0.0.1:7001"`, 8, "node.callers"},
		{"port clash in another notation", nodeFile, `"127.0.0.1:7003"`, `"[::ffff:127.0.0.1]:7001"`, 8, "node.callers"},
		{"callers on a non-loopback address without TLS", nodeFile, `"127.0.0.1:7003"`, `"10.0.0.1:7003"`, 8, "node.callers"},
		{"unspecified address without TLS", nodeFile, `"127.0.0.1:7003"`, `"0.0.0.0:7003"`, 8, "node.callers"},
		{"metrics on a non-loopback address without TLS", nodeFile, `"127.0.0.1:7002"`, `"10.0.0.1:7002"`, 5, "metrics"},
		{"control on a non-loopback address without TLS", nodeFile, `"127.0.0.2:7001"`, `"10.0.0.2:7001"`, 11, "node.controls[0]"},
		{"backend listener on a non-loopback address", nodeFile, `"127.0.0.1:7005"`, `"10.0.0.1:7005"`, 10, "node.backend"},
		{"unspecified address for peers", nodeFile, `"127.0.0.1:7004"`, `"0.0.0.0:7004"`, 9, "node.peers"},
		{"no control instance", nodeFile, `["127.0.0.2:7001"]`, `[]`, 11, "node.controls"},
		{"duplicate control instance", nodeFile, `["127.0.0.2:7001"]`, `["127.0.0.2:7001", "127.0.0.2:7001"]`, 11, "node.controls[1]"},
		{"unknown log level", nodeFile, `"region": "north"`, `"region": "north", "logLevel": "loud"`, 3, "logLevel"},
		{"TLS without key", nodeFile, `"region": "north"`, `"region": "north", "tls": {"authority": "a", "certificate": "c"}`, 3, "tls.key"},
		{"neither node nor control", nodeFile, nodeFile[strings.Index(nodeFile, `"node"`):], `}`, 1, ""},
		{"instance missing from the list", controlFile, `{"instance": "control-1", "address"`, `{"instance": "control-3", "address"`, 8, "control.replicas"},
		{"different address in the list", controlFile, `"address": "127.0.0.1:7001"`, `"address": "127.0.0.3:7001"`, 9, "control.replicas[0].address"},
		{"duplicate replica name", controlFile, `"control-2"`, `"control-1"`, 10, "control.replicas[1].instance"},
		{"duplicate replica address", controlFile, `"127.0.0.2:7001"`, `"127.0.0.1:7001"`, 10, "control.replicas[1].address"},
		{"no data folder", controlFile, `"data"`, `""`, 5, "control.dataFolder"},
		{"name with a slash", controlFile, `"region": "north"`, `"region": "no/rth"`, 2, "region"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(tt.file, tt.old, tt.replacement, 1)
			assert.Assert(t, text != tt.file)
			_, err := Parse("f.jsonc", []byte(text))
			var problems *jsonc.ProblemsError
			assert.Assert(t, errors.As(err, &problems), "%v", err)
			first := problems.First()
			assert.Equal(t, first.Field(), tt.field, "%v", err)
			assert.Equal(t, first.Line(), tt.line, "%v", err)
		})
	}
}

func TestTLSAllowsNonLoopbackAddresses(t *testing.T) {
	text := strings.Replace(nodeFile, `"node":`, `"tls": {"authority": "a", "certificate": "c", "key": "k"}, "node":`, 1)
	text = strings.ReplaceAll(text, `"127.0.0.1:7003"`, `"0.0.0.0:7003"`)
	s, err := Parse("node", []byte(text))
	assert.NilError(t, err)
	assert.Equal(t, s.TLS().Key, "k")
}

func TestReadChecksReferencedFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "control.jsonc")
	assert.NilError(t, os.WriteFile(file, []byte(controlFile), 0o600))
	_, err := Read(file)
	assert.ErrorContains(t, err, file+":7: control.operatorTokens: the file can't be read")
}

func TestExamplesAreAccepted(t *testing.T) {
	for _, name := range []string{"control.jsonc", "booking.jsonc", "calendar.jsonc"} {
		text, err := os.ReadFile(filepath.Join("../../../examples", name))
		assert.NilError(t, err)
		_, err = Parse(name, text)
		assert.NilError(t, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(nodeFile))
	f.Add([]byte(controlFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("fuzz", data)
		if err != nil {
			var problems *jsonc.ProblemsError
			assert.Assert(t, errors.As(err, &problems))
			return
		}
		assert.Assert(t, s.Node() != nil || s.Control() != nil)
	})
}

func TestMemoryComesFromTheFileOrTheEnvironment(t *testing.T) {
	text := func(memory string) string {
		return `{"instance": "c1", "dataCentre": "a", "region": "r", "messages": "127.0.0.1:7001"` + memory + `,
			"control": {"dataFolder": "data", "operators": "127.0.0.1:7006", "operatorTokens": "tokens",
			"replicas": [{"instance": "c1", "address": "127.0.0.1:7001"}]}}`
	}
	for _, tt := range []struct {
		environment, file string
		want              int
	}{
		{"284", "", 284},
		{"284.5", "", 284},
		{"284", `, "memory": 128`, 128},
		{"", "", 0},
		{"many", "", 0},
		{"-1", "", 0},
		{"NaN", "", 0},
		{"1e300", "", 0},
		{"", `, "memory":`, 0},
	} {
		t.Setenv(MemoryVariable, tt.environment)
		s, err := Parse("settings.jsonc", []byte(text(tt.file)))
		assert.NilError(t, err)
		assert.Equal(t, s.Memory(), tt.want, "%q %q", tt.environment, tt.file)
	}
	_, err := Parse("settings.jsonc", []byte(text(`, "memory": 1`)))
	assert.ErrorContains(t, err, "memory")
}
