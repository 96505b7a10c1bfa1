// Command memory plays the case of a core that gets hundreds of changes of a configuration with many routes.
package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figpier/figpier/review/testdata/second/rig"
)

const (
	coreCount = 3
	losses    = 1
	// manyRoutes is the size of a configuration that has grown, and fewRoutes that of one that has not.
	manyRoutes = 1400
	fewRoutes  = 40
	changes    = 400
	// memoryLimit is the memory of a core machine in bytes.
	memoryLimit = 280 << 20
	// checkInterval is the time between two looks at the memory of a process, and downTime the delay with which a killed process starts
	// again.
	checkInterval = 50 * time.Millisecond
	downTime      = 500 * time.Millisecond
	// maxEnds is the number of times that the process of a machine may end by itself, on half of the core.
	maxEnds = 3
	// playTime bounds the case.
	playTime = 106 * time.Second
)

func main() { rig.Main(play) }

func play(f *rig.Fleet, trouble bool) (broken bool, err error) {
	controls, err := f.NewControls(coreCount, losses)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	p := &platform{fleet: f, ends: map[string]int{}, largest: map[string]int64{}, cancel: cancel}
	var group sync.WaitGroup
	for _, c := range controls {
		if err := c.Start(); err != nil {
			return false, err
		}
		group.Go(func() { p.guard(ctx, c) })
	}
	routes := fewRoutes
	if trouble {
		routes = manyRoutes
	}
	acknowledged := sendChanges(ctx, f, controls, routes)
	cancel()
	group.Wait()
	f.Record.Printf("%d changes of %d routes acknowledged; most memory in MB: %v; ends of processes: %v", acknowledged, routes, p.largestMegabytes(), p.ends)
	if acknowledged < changes && !p.broken() {
		return false, fmt.Errorf("only %d changes were acknowledged in %s, and the processes did not end", acknowledged, playTime)
	}
	return p.broken(), nil
}

// sendChanges sends one change after the other, each to the control instances in turn until it is acknowledged.
func sendChanges(ctx context.Context, f *rig.Fleet, controls []*rig.Control, routes int) (acknowledged int) {
	for version := 1; version <= changes; version++ {
		body := configuration(version, routes)
		began := time.Now()
		for at := version; ; at++ {
			if ctx.Err() != nil {
				return acknowledged
			}
			c := controls[at%len(controls)]
			status := rig.Call(http.MethodPut, c.URL(), body, rig.AckTimeout)
			if status == http.StatusOK {
				break
			}
			f.Record.Printf("operator: PUT of version %d to %s: %d", version, c.Name, status)
			time.Sleep(100 * time.Millisecond)
		}
		acknowledged++
		f.Record.Printf("operator: version %d with %d bytes acknowledged after %.3f s", version, len(body), time.Since(began).Seconds())
	}
	return acknowledged
}

// configuration returns a configuration whose routes have a timeout of its own.
func configuration(version, routes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":"%08x","base_version":"%08x","routes":{"columns":["name","host","path_prefix","kind","timeout",`+
		`"target_latency","priority","max_attempts","public","weighted_services"],"rows":[`, version, version-1)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `["r-%07d","hulo%02d.example","/leny%04d/","idempotent","%dms","1500ms",2,2,true,[{"service":"litters","weight":90},{"service":"walkers","weight":10}]]`,
			i, i%20, i, 5000+version)
	}
	b.WriteString(`]},"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["litters","/health",532,"h1",false],["walkers","/health",196,"h1",false]]},` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`)
	return []byte(b.String())
}

// platform kills processes that use more memory than their machine has, and starts them again.
type platform struct {
	fleet  *rig.Fleet
	cancel func()

	mu      sync.Mutex
	ends    map[string]int
	largest map[string]int64
}

// guard watches the process of a control instance until the context ends.
func (p *platform) guard(ctx context.Context, c *rig.Control) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		used, runs := c.Memory()
		p.note(c.Name, used)
		if runs && used <= memoryLimit {
			continue
		}
		p.fleet.Record.Printf("%s uses %d MB: over the limit of its machine: %t", c.Name, used>>20, runs)
		c.Kill()
		p.end(c.Name)
		time.Sleep(downTime)
		if ctx.Err() != nil {
			return
		}
		if err := c.Restart(); err != nil {
			p.fleet.Record.Printf("%s does not start: %v", c.Name, err)
			return
		}
	}
}

func (p *platform) note(name string, used int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.largest[name] = max(p.largest[name], used)
}

// end counts the end of a process, and ends the case once the rule is broken.
func (p *platform) end(name string) {
	p.mu.Lock()
	p.ends[name]++
	p.mu.Unlock()
	if p.broken() {
		p.cancel()
	}
}

// broken reports whether processes ended maxEnds times on half of the core.
func (p *platform) broken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := 0
	for _, n := range p.ends {
		if n >= maxEnds {
			machines++
		}
	}
	return 2*machines >= coreCount
}

func (p *platform) largestMegabytes() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]int64{}
	for name, used := range p.largest {
		all[name] = used >> 20
	}
	return all
}
