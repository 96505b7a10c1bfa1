// Command founding starts a fleet for the first time, has one control instance lose its disk in the first half second, and checks that
// the fleet comes to serve.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/figpier/figpier/review/testdata/bed"
)

const (
	controls = 5
	// stagger lies between the starts of two control instances, all of which start within 0.3 s.
	stagger   = 60 * time.Millisecond
	killAfter = 270 * time.Millisecond
	dark      = 200 * time.Millisecond
	// recovery is how long service may be suspended after all machines are back, and margin is left beyond it.
	recovery = 15 * time.Second
	margin   = 5 * time.Second
	timeout  = 3 * time.Second
)

func main() {
	b := bed.New()
	started := time.Now()
	all := b.StartControlsApart(controls, stagger)
	entry := b.StartNode("sidecar-1", "huvo11a", "zone-1")
	target := b.StartNode("sidecar-2", "wuno96b", "zone-2")
	go b.StartUpstream(target, "i-7f3a91c2", func(u *bed.Upstream, c *bed.Conn, r *http.Request) bool {
		b.Note("upstream %s: runs attempt %s", u.ID, r.Header.Get("X-Attempt-Id"))
		return u.Answer(c, r, "200 OK", "found") == nil
	}).Beat()
	if b.Trouble {
		time.Sleep(time.Until(started.Add(killAfter)))
		all[1].Kill()
		time.Sleep(dark)
		all[1].StartEmpty()
	}
	routes := []string{bed.Route("r-view", "hulo84.example", "/leny950/", "idempotent", timeout, "wuno96b", false)}
	accepted := b.TryConfigure(recovery+margin, routes, []string{bed.Service("huvo11a"), bed.Service("wuno96b")})
	attempts := 0
	served := bed.Await(margin, func() bool {
		attempts++
		o := bed.Request(entry.Outbound(), bed.Head("GET", "/leny950/2f", "hulo84.example", fmt.Sprintf("%016x", attempts), timeout, bed.KeyHeader), timeout)
		b.Note("client: attempt %016x: %v", attempts, o)
		return o.Status == http.StatusOK
	})
	b.Note("the first configuration was accepted: %t; a request was served: %t", accepted, served)
	b.End(!accepted || !served)
}
