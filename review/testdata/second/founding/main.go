// Command founding plays the case of a core whose processes are killed right after the first start of the whole system.
package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/figpier/figpier/review/testdata/second/rig"
)

const (
	coreCount = 5
	losses    = 2
	// startSpread is the time within which all machines start.
	startSpread = 300 * time.Millisecond
	// killAfter is the time from the last start to the kill.
	killAfter = 50 * time.Millisecond
	// downTime is the delay with which a killed process starts again.
	downTime = 500 * time.Millisecond
	// requestInterval is the time between two requests of the client.
	requestInterval = 100 * time.Millisecond
)

func main() { rig.Main(play) }

func play(f *rig.Fleet, trouble bool) (broken bool, err error) {
	controls, err := f.NewControls(coreCount, losses)
	if err != nil {
		return false, err
	}
	node, err := f.AddNode("sidecar-1", "litters")
	if err != nil {
		return false, err
	}
	up, err := f.StartUpstream(node, "i-1", 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer up.Exit()
	if err := startAll(controls, node); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go up.KeepBeating(ctx)
	if trouble {
		if err := killSeeds(controls[1:3]); err != nil {
			return false, err
		}
	}
	back := time.Now()
	client := f.NewClient(node)
	clientDone := make(chan struct{})
	go func() {
		defer close(clientDone)
		client.Run(ctx, requestInterval)
	}()
	// All processes run from now on, and none is disturbed. The operator sends its first configuration until it is accepted.
	limit := rig.Recovery + rig.AckTimeout
	acknowledged := f.Put(rig.Configuration(1, 0, "litters"), controls, limit)
	f.Record.Printf("first configuration acknowledged: %t, %.1f s after all processes were back", acknowledged, time.Since(back).Seconds())
	time.Sleep(max(rig.ConfigPropagation, time.Until(back.Add(limit))))
	cancel()
	<-clientDone
	statuses := client.Statuses()
	f.Record.Printf("answers to the client by status, 0 for none: %v", statuses)
	if acknowledged && statuses[200] == 0 {
		return false, fmt.Errorf("no request was served although the configuration was acknowledged")
	}
	return !acknowledged, nil
}

// startAll starts the machines one after the other within startSpread.
func startAll(controls []*rig.Control, node *rig.Node) error {
	pause := startSpread / coreCount
	for _, c := range controls {
		if err := c.Start(); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return node.Start()
}

// killSeeds kills the processes of some machines at the same moment and starts them again.
func killSeeds(controls []*rig.Control) error {
	time.Sleep(killAfter)
	for _, c := range controls {
		c.Signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, c := range controls {
		c.Kill()
		if err := c.Restart(); err != nil {
			return err
		}
	}
	return nil
}
