package system

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxEditDelay is the documented bound on the time until an accepted edit takes effect at every node.
const maxEditDelay = 4 * time.Second

// startLimitedNodes starts three nodes of one service, each with a backend server, and sets the customers' limit. The
// limit is JSON text that replaces the rate and burst of profileText. It returns when the limit is in effect.
func startLimitedNodes(t *testing.T, limit string) (nodes, servers []*process, key string) {
	t.Helper()
	f := newFleet(t)
	control := f.startControl("c1", "c2", "c3")
	key = f.configure(control, "a")
	for i := range 3 {
		n := f.startNode(fmt.Sprint("a", i), "a", control)
		nodes = append(nodes, n)
		servers = append(servers, f.startBackend(fmt.Sprint("s", i), n))
	}
	for _, n := range nodes {
		eventually(t, "each node serves", func() bool {
			status, _, _ := call(t, http.MethodGet, "http://"+n.callerAddress()+"/leaf", key, nil)
			return status == http.StatusOK
		})
	}
	limited := strings.Replace(profileText, `"rate": "100000/s", "burst": 100000`, limit, 1)
	f.runOperatorCommand(control, "profile", "apply", f.writeFile("limited", limited))
	time.Sleep(maxEditDelay)
	return nodes, servers, key
}

func TestCustomerStaysWithinItsLimitOverAllNodes(t *testing.T) {
	const rate, burst = 40.0, 20.0
	nodes, _, key := startLimitedNodes(t, fmt.Sprintf(`"rate": "%v/s", "burst": %v`, rate, burst))

	var stop atomic.Bool
	var served, refused atomic.Int64
	var callers sync.WaitGroup
	began := time.Now()
	for _, n := range nodes {
		for range 4 {
			callers.Go(func() {
				for !stop.Load() {
					status, _, _ := call(t, http.MethodGet, "http://"+n.callerAddress()+"/leaf", key, nil)
					switch status {
					case http.StatusOK:
						served.Add(1)
					default:
						refused.Add(1)
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	nodes[0].signal(syscall.SIGSTOP)
	time.Sleep(time.Second)
	nodes[1].kill()
	time.Sleep(time.Second)
	nodes[0].signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	stop.Store(true)
	callers.Wait()

	maxServed := int64(math.Floor(burst + rate*time.Since(began).Seconds()))
	t.Logf("served %d of at most %d, refused %d", served.Load(), maxServed, refused.Load())
	assert.Check(t, served.Load() <= maxServed, "served %d, limit %d", served.Load(), maxServed)
	assert.Check(t, served.Load() > 0)
	assert.Check(t, refused.Load() > 0)
}
