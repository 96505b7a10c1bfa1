// Command incomplete plays the case of a configuration that an operator sends without its routes and services.
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
		body := fmt.Appendf(nil, `{"version":"%08x","base_version":"%08x","routes":null,"services":null,`+
			`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}`, 2, 1)
		status := rig.Call(http.MethodPut, s.Controls[0].URL(), body, rig.AckTimeout)
		f.Record.Printf("operator: PUT of %s: %d", body, status)
		broken = status == http.StatusOK
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
