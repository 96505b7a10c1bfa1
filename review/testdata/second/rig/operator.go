package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Host and paths of the configuration.
const (
	Host       = "hulo84.example"
	SafePath   = "/view/"
	UnsafePath = "/book/"
)

// Configuration returns the body of a configuration with an idempotent and a non-idempotent route to a service. Neither needs a key.
func Configuration(version, base int, service string) []byte {
	return fmt.Appendf(nil, `{"version":"%08x","base_version":"%08x",`+
		`"routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","service","max_attempts","public"],`+
		`"rows":[["r-safe",%q,%q,"idempotent","5000ms","1500ms",1,%q,2,true],["r-unsafe",%q,%q,"non_idempotent","5000ms","1500ms",0,%q,2,true]]},`+
		`"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[[%q,"/health",196,"h1",false],["front","/health",196,"h1",false]]},`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`,
		version, base, Host, SafePath, service, Host, UnsafePath, service, service)
}

// Call sends one request and returns the status, 0 for no whole answer within the time.
func Call(method, url string, body []byte, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	a, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}

// operatorPatience is how long the operator waits for an answer before it goes on to another node.
const operatorPatience = time.Second

// Put sends a configuration to the control instances in turn until one acknowledges it or the time is over. It waits a little longer
// after each try that gets no clear answer, as the operator does.
func (f *Fleet) Put(body []byte, controls []*Control, limit time.Duration) (acknowledged bool) {
	pause := 50 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, c := range controls {
			status := Call(http.MethodPut, c.URL(), body, operatorPatience)
			f.Record.Printf("operator: PUT to %s: %d", c.Name, status)
			if status == http.StatusOK {
				return true
			}
			if !time.Now().Before(end) {
				return false
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return false
}

// AwaitReady waits until all nodes say that they are ready, and returns false when the time is over.
func (f *Fleet) AwaitReady(nodes []*Node, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, n := range nodes {
		for Call(http.MethodGet, n.ReadinessURL(), nil, time.Second) != http.StatusOK {
			if time.Now().After(end) {
				f.Record.Printf("%s is not ready", n.Name)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}
