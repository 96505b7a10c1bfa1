// Command incomplete plays the case of two invalid configurations: one that names an unknown service, and one without its routes.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/figpier/figpier/review/testdata/second/rig"
)

const (
	// calmTime is how long the deployment serves before anything happens, more than the time after which machines are in touch.
	calmTime = rig.Contact + 2*time.Second
	// afterTime is how long the deployment is watched after the configuration was sent.
	afterTime       = rig.ConfigPropagation + 4*time.Second
	requestInterval = 20 * time.Millisecond
)

// Invalid parts of a configuration.
const (
	// unknownService has a route that names a service which is not there, beside weighted ones that are.
	unknownService = `"routes":{"columns":["name","host","path_prefix","kind","timeout","target_latency","priority","service","max_attempts","public","weighted_services"],` +
		`"rows":[["r-safe","hulo84.example","/view/","idempotent","5000ms","1500ms",1,"nosuch",2,true,[{"service":"litters","weight":90},{"service":"front","weight":10}]]]},` +
		`"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["litters","/health",196,"h1",false],["front","/health",196,"h1",false]]}`
	// withoutRoutes has neither routes nor services.
	withoutRoutes = `"routes":null,"services":null`
)

func main() { rig.Main(play) }

func play(f *rig.Fleet, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := rig.NewScene(ctx, f)
	if err != nil {
		return false, err
	}
	for _, u := range s.Upstreams {
		go u.KeepBeating(ctx)
	}
	client := f.NewClient(s.Entry)
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	clientDone := make(chan struct{})
	go func() {
		defer close(clientDone)
		client.Run(sending, requestInterval)
	}()
	time.Sleep(calmTime)
	before := client.Statuses()

	if trouble {
		version := 1
		for _, invalid := range []string{unknownService, withoutRoutes} {
			body := fmt.Appendf(nil, `{"version":"%08x","base_version":"%08x",%s,`+
				`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`, version+1, version, invalid)
			status := rig.Call(http.MethodPut, s.Controls[0].URL(), body, rig.AckTimeout)
			f.Record.Printf("operator: PUT of %s: %d", body, status)
			if status == http.StatusOK {
				broken = true
				version++
			}
		}
	}
	time.Sleep(afterTime)
	stopSending()
	<-clientDone
	f.Record.Printf("answers to the client by status, 0 for none: %v before, %v in all", before, client.Statuses())
	if before[http.StatusOK] == 0 {
		return false, errors.New("no request was served before the configuration was sent")
	}
	return broken, nil
}
