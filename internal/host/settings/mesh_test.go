package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/internal/host/jsonc"
)

const meshFile = `{
  "instance": "node-a", "dataCentre": "dc1", "region": "north", "privateNetwork": true,
  "messages": "10.1.0.1:7000",
  "mesh": {
    "service": "dates",
    "callers": "10.1.0.1:8548", "peers": "10.1.0.1:8543", "announcements": "10.1.0.1:8540", "readiness": "10.1.0.1:8546",
    "backend": "10.1.0.1:8547",
    "seeds": ["10.1.0.30:8540", "10.2.0.27:8540", "10.2.0.27:8540"],
    "withdrawal": "5000ms", "propagation": "2s", "drain": "2000ms", "grace": "6s",
    "retries": {"window": "10s", "share": 0.2, "slack": 47},
    "quota": {"window": "5s", "share": 0.1, "slack": 20},
  },
}
`

const seededFile = `{
  "instance": "control-1", "dataCentre": "dc1", "region": "north", "privateNetwork": true,
  "messages": "10.1.0.30:7000",
  "control": {
    "tables": "10.1.0.30:8540", "seeds": ["10.1.0.30:8540"], "founder": true, "losses": 2, "grace": "6s",
    "quota": {"window": "5s", "share": 0.1, "slack": 20}, "dataFolder": "data",
  },
}
`

func TestParseMesh(t *testing.T) {
	s, err := Parse("mesh", []byte(meshFile))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Mesh().Seeds, []string{"10.1.0.30:7000", "10.2.0.27:7000"})
	assert.Equal(t, s.Mesh().Quota.Share, 0.1)
	assert.Equal(t, s.Path(), "mesh")

	s, err = Parse("control", []byte(seededFile))
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Control().Seeds, []string{"10.1.0.30:7000"})
	assert.Assert(t, s.Control().Founder)
	assert.Equal(t, s.Control().Losses, 2)
}

func TestParseRejectsInvalidMesh(t *testing.T) {
	tests := []struct {
		name, file, replace, by, want string
	}{
		{"no private network", meshFile, `"privateNetwork": true`, `"privateNetwork": false`, "tls"},
		{"no seeds", meshFile, `["10.1.0.30:8540", "10.2.0.27:8540", "10.2.0.27:8540"]`, `[]`, "seeds"},
		{"host name as seed", meshFile, `"10.1.0.30:8540"`, `"control:8540"`, "seeds"},
		{"no withdrawal", meshFile, `"withdrawal": "5000ms",`, ``, "withdrawal"},
		{"propagation without a unit", meshFile, `"propagation": "2s"`, `"propagation": "2"`, "mesh.propagation"},
		{"propagation as a number", meshFile, `"propagation": "2s"`, `"propagation": 2`, "mesh.propagation"},
		{"propagation of null", meshFile, `"propagation": "2s"`, `"propagation": null`, "mesh.propagation"},
		{"propagation of a space", meshFile, `"propagation": "2s"`, `"propagation": " "`, "mesh.propagation"},
		{"propagation below its bound", meshFile, `"propagation": "2s"`, `"propagation": "0s"`, "mesh.propagation"},
		{"negative propagation", meshFile, `"propagation": "2s"`, `"propagation": "-2s"`, "mesh.propagation"},
		{"propagation above its bound", meshFile, `"propagation": "2s"`, `"propagation": "2h"`, "mesh.propagation"},
		{"propagation twice", meshFile, `"propagation": "2s"`, `"propagation": "2s", "propagation": ""`, "mesh.propagation"},
		{"empty withdrawal", meshFile, `"withdrawal": "5000ms"`, `"withdrawal": ""`, "mesh.withdrawal"},
		{"empty share", meshFile, `"share": 0.2`, `"share": `, "mesh.retries.share"},
		{"share below 0", meshFile, `"share": 0.2`, `"share": -1`, "share"},
		{"unknown field", meshFile, `"drain"`, `"drian"`, "drian"},
		{"port clash", meshFile, `10.1.0.1:8546`, `10.1.0.1:8543`, "listens on this port too"},
		{"too many losses", seededFile, `"losses": 2`, `"losses": 5`, "losses"},
		{"no quota", seededFile, `"quota": {"window": "5s", "share": 0.1, "slack": 20},`, ``, "quota"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("file", []byte(strings.Replace(tt.file, tt.replace, tt.by, 1)))
			var problems *jsonc.ProblemsError
			assert.Assert(t, errors.As(err, &problems), "%v", err)
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// Guards against a node that doesn't start on the settings of the build before, or where nobody gives the placeholder a value.
func TestParseAcceptsMeshWithoutPropagation(t *testing.T) {
	for name, value := range map[string]string{"missing": ``, "empty text": `"propagation": "",`, "no value": `"propagation": ,`} {
		t.Run(name, func(t *testing.T) {
			s, err := Parse("mesh", []byte(strings.Replace(meshFile, `"propagation": "2s",`, value, 1)))
			assert.NilError(t, err)
			assert.Equal(t, s.Mesh().Propagation.Or(time.Minute), time.Minute)
		})
	}
	s, err := Parse("mesh", []byte(meshFile))
	assert.NilError(t, err)
	assert.Equal(t, s.Mesh().Propagation.Or(time.Minute), 2*time.Second)
}
