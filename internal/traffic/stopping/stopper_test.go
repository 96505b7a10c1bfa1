package stopping

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a readiness check that comes before all services have started, and reads what the start writes.
func TestNodeThatIsStartingIsNotReady(t *testing.T) { assert.Assert(t, !New(Config{}).Ready()) }
