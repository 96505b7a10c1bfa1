package system

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unsafeProfile is profileText with routes that are not idempotent.
var unsafeProfile = strings.ReplaceAll(profileText, `"idempotent": true`, `"idempotent": false`)

// Callers send each idempotency key to all nodes in turn, while one node is frozen for a time and another is killed. The
// claims on the keys must survive that: no key runs twice, nor at all if every answer said "not run".
func TestRequestUnderOneIdempotencyKeyRunsAtMostOnce(t *testing.T) {
	f := newFleet(t)
	control := f.startControl("c1", "c2", "c3")
	key := f.configure(control, "a")
	f.runOperatorCommand(control, "profile", "apply", f.writeFile("unsafe", unsafeProfile))
	var nodes, servers []*process
	for i := range 4 {
		n := f.startNode(fmt.Sprint("a", i), "a", control)
		nodes = append(nodes, n)
		servers = append(servers, f.startBackend(fmt.Sprint("s", i), n, "--work", "20ms"))
	}
	send := func(n *process, idempotencyKey string) (int, http.Header) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.callerAddress()+"/book", strings.NewReader("hold"))
		assert.NilError(t, err)
		r.Header.Set("Figpier-Key", key)
		r.Header.Set("Idempotency-Key", idempotencyKey)
		answer, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0, nil
		}
		_ = answer.Body.Close()
		return answer.StatusCode, answer.Header
	}
	for i, n := range nodes {
		eventually(t, "each node answers a request", func() bool {
			status, _ := send(n, fmt.Sprintf("first-%d-%d", i, time.Now().UnixNano()))
			return status == http.StatusOK
		})
	}

	var stop atomic.Bool
	var callers sync.WaitGroup
	var notRun sync.Map
	var keys, served atomic.Int64
	for range 6 {
		callers.Go(func() {
			for !stop.Load() {
				idempotencyKey := fmt.Sprint("booking-", keys.Add(1))
				allNotRun := true
				for _, n := range nodes {
					status, header := send(n, idempotencyKey)
					if status == http.StatusOK {
						served.Add(1)
					}
					allNotRun = allNotRun && status != 0 && header.Get("Figpier-Not-Run") == "true"
				}
				if allNotRun {
					notRun.Store(idempotencyKey, true)
				}
			}
		})
	}
	time.Sleep(time.Second)
	nodes[0].signal(syscall.SIGSTOP)
	time.Sleep(time.Second)
	nodes[1].kill()
	time.Sleep(2 * time.Second)
	nodes[0].signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	stop.Store(true)
	callers.Wait()

	runs := map[string]int{}
	for _, s := range servers {
		for idempotencyKey, n := range fetchCounts(t, s).ByKey {
			runs[idempotencyKey] += n
		}
	}
	for idempotencyKey, n := range runs {
		assert.Check(t, n <= 1, "%s ran %d times", idempotencyKey, n)
		_, refused := notRun.Load(idempotencyKey)
		assert.Check(t, !refused, "%s ran although every answer said \"not run\"", idempotencyKey)
	}
	t.Logf("%d idempotency keys, %d served, %d ran", keys.Load(), served.Load(), len(runs))
	assert.Check(t, served.Load() > 0)
}
