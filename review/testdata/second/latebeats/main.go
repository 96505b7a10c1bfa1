// Command latebeats plays the case of two heartbeats that come late, after their upstream has left and its node has started again.
package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/figpier/figpier/review/testdata/second/rig"
)

const (
	// calmTime is how long the deployment serves before anything happens, more than the time after which machines are in touch.
	calmTime = rig.Contact + 2*time.Second
	// lateness is how late the last two heartbeats of the upstream arrive.
	lateness = 6 * time.Second
	// leaveAfter is the time from the last heartbeat to the deregistration.
	leaveAfter = 500 * time.Millisecond
	// killAfter is the time from the acknowledged deregistration to the kill of the node, and downTime the delay of its restart.
	killAfter = 300 * time.Millisecond
	downTime  = 500 * time.Millisecond
	// extraTime is how much longer than the drain period the upstream serves after the acknowledgement.
	extraTime       = 8 * time.Second
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
	leaving, staying, node := s.Upstreams[0], s.Upstreams[1], s.Servers[0]
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

	stopBeating()
	sendLastHeartbeats(f, node, leaving, trouble)
	time.Sleep(leaveAfter)
	leaving.SetDraining()
	if !leaving.Leave() {
		return false, errors.New("the node did not acknowledge the deregistration")
	}
	acknowledged := time.Now()
	f.Record.Printf("the node of %s acknowledged that it is gone", leaving.ID)
	if trouble {
		time.Sleep(killAfter)
		node.Kill()
		time.Sleep(downTime)
		if err := node.Start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(acknowledged.Add(rig.DrainPeriod + extraTime)))
	late := leaving.RanAfter(acknowledged.Add(rig.DrainPeriod))
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

// sendLastHeartbeats sends two heartbeats at their interval, both of which arrive late if late is set.
func sendLastHeartbeats(f *rig.Fleet, n *rig.Node, u *rig.Upstream, late bool) {
	for range 2 {
		if !late {
			u.Beat()
			time.Sleep(rig.HeartbeatInterval)
			continue
		}
		body := u.NextHeartbeat()
		f.Record.Printf("upstream %s: heartbeat %s sent, on its way", u.ID, body)
		time.AfterFunc(lateness, func() {
			status := rig.Call(http.MethodPut, u.URL(n.HeartbeatAddress()), body, time.Second)
			f.Record.Printf("heartbeat %s arrives %s late: %d", body, lateness, status)
		})
		time.Sleep(rig.HeartbeatInterval)
	}
}
