package rig

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Scene is a small deployment that serves: control instances, a node whose clients send the requests, and two nodes with the upstreams
// that run them.
type Scene struct {
	Fleet    *Fleet
	Controls []*Control
	// Entry is the node that the clients use, and Servers are those beside Upstreams.
	Entry     *Node
	Servers   []*Node
	Upstreams []*Upstream
}

const (
	sceneControls = 3
	sceneLosses   = 1
	sceneServers  = 2
	sceneWork     = 60 * time.Millisecond
	sceneStart    = 20 * time.Second
)

// NewScene starts a deployment and returns once all its nodes are ready. The upstream of the entry node tells its node how it is until
// the context ends; the others do nothing by themselves.
func NewScene(ctx context.Context, f *Fleet) (*Scene, error) {
	controls, err := f.NewControls(sceneControls, sceneLosses)
	if err != nil {
		return nil, err
	}
	s := &Scene{Fleet: f, Controls: controls}
	for _, c := range controls {
		if err := c.Start(); err != nil {
			return nil, err
		}
	}
	for i := range 1 + sceneServers {
		service := "litters"
		if i == 0 {
			service = "front"
		}
		n, err := f.AddNode(fmt.Sprintf("sidecar-%d", i+1), service)
		if err != nil {
			return nil, err
		}
		if err := n.Start(); err != nil {
			return nil, err
		}
		u, err := f.StartUpstream(n, fmt.Sprintf("i-%d", i+1), sceneWork)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			s.Entry = n
			go u.KeepBeating(ctx)
			continue
		}
		s.Servers, s.Upstreams = append(s.Servers, n), append(s.Upstreams, u)
	}
	if !f.Put(Configuration(1, 0, "litters"), controls, sceneStart) {
		return nil, errors.New("the first configuration was not acknowledged")
	}
	if !f.AwaitReady(append([]*Node{s.Entry}, s.Servers...), sceneStart) {
		return nil, errors.New("the nodes did not become ready")
	}
	return s, nil
}
