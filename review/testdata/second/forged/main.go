// Command forged plays the case of a heartbeat of another writer that comes before an upstream says that it leaves.
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
	// leadTime is the time from the heartbeat of the other writer to the moment when the upstream says that it leaves.
	leadTime = 2 * time.Second
	// extraTime is how much longer than the drain period the upstream serves after the acknowledgement.
	extraTime       = 4 * time.Second
	requestInterval = 10 * time.Millisecond
)

func main() { rig.Main(play) }

func play(f *rig.Fleet, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := rig.NewScene(ctx, f)
	if err != nil {
		return false, err
	}
	leaving, staying := s.Upstreams[0], s.Upstreams[1]
	go staying.KeepBeating(ctx)
	beating, stopBeating := context.WithCancel(ctx)
	defer stopBeating()
	go leaving.KeepBeating(beating)

	client := f.NewClient(s.Entry)
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	clientDone := make(chan struct{})
	go func() {
		defer close(clientDone)
		client.Run(sending, requestInterval)
	}()
	time.Sleep(calmTime)
	if trouble {
		writeOddHeartbeat(f, s.Servers[0], leaving)
	}
	time.Sleep(leadTime)

	leaving.SetDraining()
	if !leaving.Beat() {
		return false, errors.New("the node did not acknowledge that the upstream leaves")
	}
	acknowledged := time.Now()
	f.Record.Printf("the node of %s acknowledged that it leaves", leaving.ID)
	time.Sleep(rig.DrainPeriod + extraTime)
	late := leaving.RanAfter(acknowledged.Add(rig.DrainPeriod))
	stopBeating()
	leaving.Leave()
	leaving.Exit()
	stopSending()
	<-clientDone
	for _, a := range late {
		f.Record.Printf("%s ran at %s, %.3f s after the acknowledgement", a.ID, leaving.ID, a.At.Sub(acknowledged).Seconds())
	}
	f.Record.Printf("%d requests ran at %s later than %s after the acknowledgement; answers by status, 0 for none: %v", len(late), leaving.ID, rig.DrainPeriod, client.Statuses())
	if len(leaving.RanAfter(time.Time{})) == 0 {
		return false, errors.New("no request ever ran at the upstream that leaves")
	}
	return len(late) > 0, nil
}

// writeOddHeartbeat sends a heartbeat of another writer under the upstream's name, in which three fields are of another type.
func writeOddHeartbeat(f *rig.Fleet, n *rig.Node, u *rig.Upstream) {
	body := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":null,"version":null,"slots":16,"state":"ready","warmup_remaining":"0ms","sequence":null,"born":%d}`,
		n.Service, n.Application(), time.Now().UnixMilli())
	status := rig.Call(http.MethodPut, u.URL(n.HeartbeatAddress()), body, time.Second)
	f.Record.Printf("another writer: heartbeat for %s %s: %d", u.ID, body, status)
}
