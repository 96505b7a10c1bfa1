package process

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/internal/host/logs"
	"github.com/figpier/figpier/internal/host/settings"
)

// Guards against a node that exits at its start because its settings don't tell the time in which a table is in force.
func TestMeshNodeIsBuiltWithoutPropagationTime(t *testing.T) {
	tests := []struct {
		name, setting, message string
	}{
		{"missing", ``, "the settings lack mesh.propagation: using the default"},
		{"empty", `"propagation": "",`, "the settings lack mesh.propagation: using the default"},
		{"told", `"propagation": "2s",`, "using mesh.propagation of the settings"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := settings.Parse("settings.jsonc", []byte(strings.Replace(nodeSettings, `"propagation": "2s",`, tt.setting, 1)))
			assert.NilError(t, err)
			var output bytes.Buffer
			l, err := logs.New(logs.Config{Output: &output, Instance: "node"})
			assert.NilError(t, err)
			_, err = NewMeshNode(s, l)
			assert.NilError(t, err)
			assert.Equal(t, meshGateConfig(s).Propagation, propagationBound)
			assert.Assert(t, strings.Contains(output.String(), tt.message), output.String())
			assert.Assert(t, strings.Contains(output.String(), `"propagation":"2s"`), output.String())
		})
	}
}
