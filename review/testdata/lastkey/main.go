// Command lastkey shows what happens to withdrawn and unknown keys once the last tenant has been removed from the configuration.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

// Names of the day.
const (
	host    = "hulo84.example"
	prefix  = "/leny950/"
	service = "wuno96b"
)

const (
	revocation = 5 * time.Second
	deadline   = 3 * time.Second
	// unknownKey is in no configuration.
	unknownKey = "zzzzmadeupkeyzzzzzzz"
	requests   = 10
)

// runs are the requests that the upstream has run, with the tenant that it was told.
type runs struct {
	mu  sync.Mutex
	all map[string]string
}

func (r *runs) add(id, tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all[id] = tenant
}

func (r *runs) tenant(id string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.all[id]
	return t, ok
}

func main() {
	b := bed.New()
	b.StartControls(3)
	front := b.StartNode("sidecar-1", "huvo11a", "zone-1")
	stock := b.StartNode("sidecar-2", service, "zone-2")
	ran := &runs{all: map[string]string{}}
	u := b.StartUpstream(stock, "i-7f3a91c2", func(u *bed.Upstream, c *bed.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Attempt-Id")
		ran.add(id, r.Header.Get("X-Tenant"))
		b.Note("upstream: runs %s, X-Tenant %q", id, r.Header.Get("X-Tenant"))
		return u.Answer(c, r, "200 OK", "stock") == nil
	})
	go u.Beat()

	first := configuration(1, 0, deadline, bed.TenantRow)
	if !b.PutConfiguration(20*time.Second, first) {
		b.Fail("the first configuration was not accepted")
	}
	front.AwaitReady()
	served := func() bool { return send(b, front, "warm", bed.Key).Status == http.StatusOK }
	if !bed.Await(20*time.Second, served) {
		b.Fail("no request with the tenant's key was served")
	}
	if o := send(b, front, "check", unknownKey); o.Status != http.StatusUnauthorized {
		b.Fail("a request with an unknown key was not refused before the change: %v", o)
	}
	time.Sleep(bed.Contact)

	second := configuration(2, 1, deadline, bed.TenantRow)
	if b.Trouble {
		second = configuration(2, 1, deadline)
		b.Note("operator: configuration 00000002 has no row in tenants, so that no key is left")
	} else {
		second.Routes = routes(deadline + time.Second)
		b.Note("operator: configuration 00000002 keeps the tenant and changes a timeout")
	}
	if !b.PutConfiguration(10*time.Second, second) {
		b.Fail("the second configuration was not accepted")
	}
	acknowledged := time.Now()
	time.Sleep(revocation + time.Second)

	broken := false
	for i := range requests {
		id := fmt.Sprintf("unknown%02d", i)
		send(b, front, id, unknownKey)
		if _, ok := ran.tenant(id); ok {
			b.Note("ROUTE: %s ran with a key that no configuration ever held", id)
			broken = true
		}
		id = fmt.Sprintf("withdrawn%02d", i)
		send(b, front, id, bed.Key)
		if _, ok := ran.tenant(id); ok && b.Trouble {
			b.Note("CONFIG: %s ran with a withdrawn key, sent %.1f s after the acknowledgement", id, time.Since(acknowledged).Seconds())
			broken = true
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.End(broken)
}

// configuration returns a configuration with one route, which is not public, and the given rows of tenants.
func configuration(version, base uint32, timeout time.Duration, tenants ...string) bed.Configuration {
	return bed.Configuration{
		Version:  version,
		Base:     base,
		Routes:   routes(timeout),
		Services: []string{bed.Service(service), bed.Service("huvo11a")},
		Tenants:  tenants,
	}
}

func routes(timeout time.Duration) []string {
	return []string{bed.Route("r-frzm2d5", host, prefix, "idempotent", timeout, service, false)}
}

// send sends a request with a key and records its outcome.
func send(b *bed.Bed, n *bed.Node, id, key string) bed.Outcome {
	head := bed.Head(http.MethodGet, prefix+"2f", host, id, deadline, "Authorization: Token "+key)
	o := bed.Request(n.Outbound(), head, deadline)
	b.Note("client: %s with key %s: %v", id, key, o)
	return o
}
