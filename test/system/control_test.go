package system

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// operatorStatus holds the fields of the answer to GET /v1/status that the tests read.
type operatorStatus struct {
	Leader          string `json:"leader"`
	Revision        int    `json:"revision"`
	QuorumAgeMillis *int   `json:"quorum_age_millis"`
}

// operatorRequest sends a request to the operator API of a control instance, decodes the JSON answer and returns the
// status. The operation, if any, is the ID by which a control instance recognises an edit that is sent again.
func (p *process) operatorRequest(t *testing.T, method, path, operation string, body io.Reader, answer any) (int, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+p.operatorAddress()+path, body)
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	if operation != "" {
		r.URL.RawQuery = "operation=" + operation
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer a.Body.Close()
	return a.StatusCode, json.NewDecoder(a.Body).Decode(answer)
}

// status returns the status that a control instance reports, or the zero value if it gives none.
func (p *process) status(t *testing.T) operatorStatus {
	t.Helper()
	var s operatorStatus
	if status, err := p.operatorRequest(t, http.MethodGet, "/v1/status", "", nil, &s); err != nil || status != http.StatusOK {
		return operatorStatus{}
	}
	return s
}

// isCurrent reports whether a control instance has a revision, knows the leader and was in contact with a quorum within
// the last 2 s.
func (p *process) isCurrent(t *testing.T, revision int) bool {
	s := p.status(t)
	return s.Revision == revision && s.Leader != "" && s.QuorumAgeMillis != nil && *s.QuorumAgeMillis < 2000
}

// giveKeys gives n keys through a control instance and returns the revision of the last one. It sends each edit again
// under the same operation ID until it is accepted. Equal prefixes give equal operation IDs.
func (p *process) giveKeys(t *testing.T, prefix string, n int) (revision int) {
	t.Helper()
	for i := range n {
		operation := fmt.Sprintf("%s-%d", prefix, i)
		eventually(t, operation+" is accepted", func() bool {
			var receipt struct {
				Revision int `json:"revision"`
			}
			body := strings.NewReader(`{"customer": "acme"}`)
			status, err := p.operatorRequest(t, http.MethodPost, "/v1/keys", operation, body, &receipt)
			if errors.Is(err, syscall.ECONNREFUSED) {
				return false
			}
			revision = receipt.Revision
			return err == nil && status == http.StatusOK
		})
	}
	return revision
}

// findLeader waits until control[0] knows the leader, and returns the leader and another control instance.
func findLeader(t *testing.T, control []*process) (lead, other *process) {
	t.Helper()
	eventually(t, "a leader is known", func() bool {
		name := control[0].status(t).Leader
		lead, other = nil, nil
		for _, p := range control {
			if p.name == name {
				lead = p
			} else {
				other = p
			}
		}
		return lead != nil
	})
	return lead, other
}

// waitUntilAllCurrent waits until isCurrent holds for all control instances.
func waitUntilAllCurrent(t *testing.T, control []*process, revision int) {
	t.Helper()
	for _, p := range control {
		eventually(t, fmt.Sprintf("%s has revision %d", p.name, revision), func() bool { return p.isCurrent(t, revision) })
	}
}

func TestControlInstancesSurviveKillsAndFreezes(t *testing.T) {
	f := newFleet(t)
	control := f.startControl("c1", "c2", "c3")
	findLeader(t, control)
	first := control[0].giveKeys(t, "first", 200)
	waitUntilAllCurrent(t, control, first)

	lead, other := findLeader(t, control)
	lead.kill()
	second := other.giveKeys(t, "second", 20)
	assert.Equal(t, second, first+20)
	lead.start()
	waitUntilAllCurrent(t, control, second)

	lead, other = findLeader(t, control)
	lead.signal(syscall.SIGSTOP)
	third := other.giveKeys(t, "third", 20)
	lead.signal(syscall.SIGCONT)
	waitUntilAllCurrent(t, control, third)

	for _, p := range control {
		p.kill()
	}
	for _, p := range control {
		p.start()
	}
	waitUntilAllCurrent(t, control, third)
	assert.Equal(t, control[1].giveKeys(t, "first", 1), first-199, "an edit sent again after all restarts must get its first answer")
}

func TestLossOfTwoDataFoldersInTurnLosesNoEdit(t *testing.T) {
	f := newFleet(t)
	control := f.startControl("c1", "c2", "c3")
	findLeader(t, control)
	revision := control[0].giveKeys(t, "first", 20)
	waitUntilAllCurrent(t, control, revision)
	for i, p := range control[:2] {
		p.kill()
		assert.NilError(t, os.RemoveAll(p.dataFolder()))
		p.start()
		waitUntilAllCurrent(t, control, revision)
		eventually(t, p.name+" has three voters", func() bool {
			_, text, _ := call(t, http.MethodGet, "http://"+p.metricsAddress()+"/metrics", "", nil)
			return strings.Contains(text, "figpier_log_voters 3")
		})
		revision = p.giveKeys(t, fmt.Sprint("after-", i), 5)
		waitUntilAllCurrent(t, control, revision)
	}
}

func TestControlInstanceDoesNotStartOnADamagedLog(t *testing.T) {
	f := newFleet(t)
	control := f.startControl("c1", "c2", "c3")
	findLeader(t, control)
	revision := control[0].giveKeys(t, "first", 5)
	waitUntilAllCurrent(t, control, revision)
	p := control[2]
	p.kill()
	paths, err := filepath.Glob(filepath.Join(p.dataFolder(), "log-*"))
	assert.NilError(t, err)
	data, err := os.ReadFile(paths[0])
	assert.NilError(t, err)
	data[len(data)/2] ^= 1
	assert.NilError(t, os.WriteFile(paths[0], data, 0o600))

	p.start()
	eventually(t, "the log names the damaged file and the offset", func() bool {
		return strings.Contains(p.log(), paths[0]+" is damaged at byte ")
	})
	assert.Assert(t, p.wait() > 0)
	assert.Assert(t, control[0].giveKeys(t, "second", 5) > revision)
}
