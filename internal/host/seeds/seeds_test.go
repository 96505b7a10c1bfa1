package seeds

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier/internal/host/logs"
	"github.com/figpier/figpier/internal/host/settings"
)

// fileFormat is a settings file with a seed and the setting of the propagation time.
const fileFormat = `{
	"instance": "node", "dataCentre": "a1", "region": "a", "messages": "127.0.0.1:7000", "privateNetwork": true,
	"mesh": {
		"service": "litters", "callers": "127.0.0.1:7001", "peers": "127.0.0.1:7002", "announcements": "127.0.0.1:7003",
		"readiness": "127.0.0.1:7004", "backend": "127.0.0.1:7005", "seeds": ["%[1]s:7001"],
		"withdrawal": "5s", %[2]s "drain": "2s", "grace": "6s",
		"retries": {"window": "10s", "share": 0.2, "slack": 40}, "quota": {"window": "5s", "share": 0.1, "slack": 20}
	}
}`

// Guards against a reload that keeps the old seeds because the file lacks a setting that has a default.
func TestReloadWithoutPropagationTakesTheNewSeeds(t *testing.T) {
	for name, propagation := range map[string]string{"missing": ``, "empty": `"propagation": "",`, "no value": `"propagation": ,`} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "node.jsonc")
			write := func(seed, propagation string, modified time.Time) {
				assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, fileFormat, seed, propagation), 0o600))
				assert.NilError(t, os.Chtimes(path, modified, modified))
			}
			now := time.Now()
			write("127.0.0.2", `"propagation": "2s",`, now.Add(-time.Hour))
			l, err := logs.New(logs.Config{Output: io.Discard, Instance: "node"})
			assert.NilError(t, err)
			source := New(Config{
				Path:  path,
				Seeds: []string{"127.0.0.2:7000"},
				Read:  func(s *settings.Settings) []string { return s.Mesh().Seeds },
				Log:   l,
			})
			assert.DeepEqual(t, source.Seeds(), []string{"127.0.0.2:7000"})
			write("127.0.0.3", propagation, now)
			assert.DeepEqual(t, source.Seeds(), []string{"127.0.0.3:7000"})
		})
	}
}
