package system

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// call sends a request and returns the status, the body and the header of its answer. Without a complete answer, the
// status is 0 and the text is that of the error.
func call(t *testing.T, method, url, key string, body io.Reader) (int, string, http.Header) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, body)
	assert.NilError(t, err)
	if key != "" {
		r.Header.Set("Figpier-Key", key)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return answer.StatusCode, string(text), answer.Header
}

// backendCounts holds the counts that the test backend server reports at /count.
type backendCounts struct {
	Runs   int            `json:"runs"`
	SawKey bool           `json:"sawKey"` // whether a request carried a caller's key
	ByKey  map[string]int `json:"byKey"`  // runs by idempotency key
}

// fetchCounts returns the counts of a backend server, or the zero value if it does not answer.
func fetchCounts(t *testing.T, server *process) backendCounts {
	t.Helper()
	var c backendCounts
	status, text, _ := call(t, http.MethodGet, "http://"+server.serverAddress()+"/count", "", nil)
	if status == http.StatusOK {
		assert.NilError(t, json.Unmarshal([]byte(text), &c))
	}
	return c
}

// eventually waits until a condition is met, and fails the test if it is not met within 30 s.
func eventually(t *testing.T, condition string, met func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if met() {
			return poll.Success()
		}
		return poll.Continue("%s", condition)
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
}

func TestRequestPassesThroughTwoNodesAndTwoBackendServers(t *testing.T) {
	f := newFleet(t)
	control := f.startControl("c1")
	key := f.configure(control, "a", "b")
	a := f.startNode("a1", "a", control)
	b := f.startNode("b1", "b", control)
	f.startBackend("sa", a, "--next", "b")
	sb := f.startBackend("sb", b)
	url := "http://" + a.callerAddress() + "/chain?then=/leaf"

	eventually(t, "the request is served", func() bool {
		status, _, _ := call(t, http.MethodGet, url, key, nil)
		return status == http.StatusOK
	})

	status, text, header := call(t, http.MethodPost, url, key, strings.NewReader("hello"))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, text, "hello")
	assert.Check(t, header.Get("Figpier-Request-Id") != "")

	status, _, header = call(t, http.MethodGet, url, "another-key", nil)
	assert.Equal(t, status, http.StatusUnauthorized)
	assert.Equal(t, header.Get("Figpier-Refusal"), "key-unknown")
	assert.Equal(t, header.Get("Figpier-Not-Run"), "true")

	seen := fetchCounts(t, sb)
	assert.Check(t, seen.Runs > 0)
	assert.Check(t, !seen.SawKey)
}

func TestEditsTakeEffectWhileTrafficRuns(t *testing.T) {
	f := newFleet(t)
	control := f.startControl("c1")
	key := f.configure(control, "a")
	a := f.startNode("a1", "a", control)
	f.startBackend("sa", a)
	url := "http://" + a.callerAddress() + "/leaf"
	status := func(k string) int {
		status, _, _ := call(t, http.MethodGet, url, k, nil)
		return status
	}
	eventually(t, "the node serves", func() bool { return status(key) == http.StatusOK })

	second := f.runOperatorCommand(control, "key", "give", "valv")
	eventually(t, "the new key is accepted", func() bool { return status(second) == http.StatusOK })
	id := strings.Fields(strings.Split(f.runOperatorCommand(control, "key", "list"), "\n")[2])[0]
	f.runOperatorCommand(control, "key", "withdraw", id)
	eventually(t, "the withdrawn key is refused", func() bool { return status(second) == http.StatusUnauthorized })
	assert.Equal(t, status(key), http.StatusOK)

	limited := strings.Replace(profileText, `"rate": "100000/s", "burst": 100000`, `"rate": "0.001/s", "burst": 1`, 1)
	f.runOperatorCommand(control, "profile", "apply", f.writeFile("limited", limited))
	eventually(t, "the lower limit takes effect", func() bool { return status(key) == http.StatusTooManyRequests })
}
