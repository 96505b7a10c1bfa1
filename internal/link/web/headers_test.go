package web

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// TestCopiedHeadersLeaveThoseOfTheAnswer guards against a backend server that removes headers which the node has set on its answer, such as
// the one that closes the connection, by naming them as its connection options.
func TestCopiedHeadersLeaveThoseOfTheAnswer(t *testing.T) {
	to := http.Header{"Connection": {"close"}, figpier.HeaderRequestID: {"r1"}, "Own": {"node"}}
	CopyEndToEnd(to, http.Header{
		"Connection": {"keep-alive, own, " + figpier.HeaderRequestID, "Listed"},
		"Keep-Alive": {"timeout=5"},
		"Own":        {"server"},
		"Listed":     {"1"},
		"Kept":       {"1", "2"},
	})
	assert.DeepEqual(t, to, http.Header{"Connection": {"close"}, figpier.HeaderRequestID: {"r1"}, "Own": {"node"}, "Kept": {"1", "2"}})
}
