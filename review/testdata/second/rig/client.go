package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Client sends requests to the node of its machine at a fixed rate, each once.
type Client struct {
	fleet  *Fleet
	node   *Node
	http   *http.Client
	prefix string

	mu       sync.Mutex
	sent     int
	statuses map[int]int
	group    sync.WaitGroup
}

// NewClient returns a client of a node.
func (f *Fleet) NewClient(n *Node) *Client {
	return &Client{
		fleet: f, node: n, prefix: n.Name, statuses: map[int]int{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// deadline is how long a client waits for an answer.
const deadline = 4 * time.Second

// Run sends requests, every second one of them non-idempotent, until the context ends, and waits for the last answers.
func (c *Client) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			c.group.Wait()
			return
		case <-ticker.C:
			method, path := http.MethodGet, SafePath
			if n%2 == 1 {
				method, path = http.MethodPost, UnsafePath
			}
			c.group.Go(func() { c.send(method, path, fmt.Sprintf("%s-%d", c.prefix, n)) })
		}
	}
}

func (c *Client) send(method, path, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.Outbound()+path+"x", http.NoBody)
	if err != nil {
		return
	}
	r.Host = Host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	status := 0
	a, err := c.http.Do(r)
	if err == nil {
		if _, err = io.Copy(io.Discard, a.Body); err == nil {
			status = a.StatusCode
		}
		_ = a.Body.Close()
	}
	c.fleet.Record.Printf("client of %s: %s %s: %d", c.node.Name, method, id, status)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.statuses[status]++
}

// Statuses returns the number of answers by status, 0 for no whole answer.
func (c *Client) Statuses() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[int]int{}
	for s, n := range c.statuses {
		all[s] = n
	}
	return all
}
