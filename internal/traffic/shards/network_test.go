package shards_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/traffic/shards"
)

// network carries messages between the processes of a test. It can lose, delay, duplicate and block them.
type network struct {
	mu            sync.Mutex
	random        *rand.Rand
	lossRate      float64
	duplicateRate float64
	delay         time.Duration
	links         map[string]*link
	drops         func(m figpier.Method) bool
	blocks        func(from, to string) bool
}

// link implements figpier.Messenger for one process.
type link struct {
	network  *network
	address  string
	handlers map[figpier.Method]figpier.MessageHandler
	work     context.Context
	killed   bool
	// resumed is closed while messages to and from the process may pass; a freeze replaces it by an open channel.
	resumed chan struct{}
}

func newNetwork(seed uint64) *network {
	return &network{
		random: rand.New(rand.NewPCG(seed, 0)),
		delay:  2 * time.Millisecond,
		links:  map[string]*link{},
		drops:  func(figpier.Method) bool { return false },
		blocks: func(string, string) bool { return false },
	}
}

func (n *network) link(address string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &link{network: n, address: address, handlers: map[figpier.Method]figpier.MessageHandler{}, resumed: make(chan struct{})}
	close(l.resumed)
	n.links[address] = l
	return l
}

func (l *link) Name() figpier.ServiceName { return figpier.MessengerService }

func (l *link) Start(ctx context.Context, _ figpier.Directory) error {
	l.work = ctx
	return nil
}

func (l *link) Stop(context.Context) error { return nil }

func (l *link) Handle(m figpier.Method, h figpier.MessageHandler) { l.handlers[m] = h }

func (l *link) kill() {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.killed = true
}

// freeze holds back the messages to and from the process for a time.
func (l *link) freeze(d time.Duration) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	held := make(chan struct{})
	l.resumed = held
	time.AfterFunc(d, func() { close(held) })
}

// drawDelivery draws at random whether a message is lost, whether it is duplicated and how late it is.
func (n *network) drawDelivery(m figpier.Method, from, to string) (lost, repeated bool, late time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	late = time.Duration(1 + n.random.Int64N(int64(n.delay)))
	if n.random.Float64() < 0.01 && n.lossRate > 0 {
		late *= 200
	}
	lost = n.random.Float64() < n.lossRate || n.drops(m) || n.blocks(from, to)
	return lost, n.random.Float64() < n.duplicateRate, late
}

// configure changes the network's settings under its lock.
func (n *network) configure(change func(n *network)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// waitWhileFrozen waits until messages of the process may pass, and returns false if it is killed or the context ends.
func (l *link) waitWhileFrozen(ctx context.Context) bool {
	l.network.mu.Lock()
	frozen, dead := l.resumed, l.killed
	l.network.mu.Unlock()
	if dead {
		return false
	}
	select {
	case <-frozen:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *link) Request(ctx context.Context, address string, m figpier.Method, message, answer any) error {
	data, err := json.Marshal(message)
	if err != nil {
		return err
	}
	l.network.mu.Lock()
	to, ok := l.network.links[address]
	l.network.mu.Unlock()
	answered := make(chan []byte, 2)
	lost, repeated, late := l.network.drawDelivery(m, l.address, address)
	if ok && !lost {
		go l.deliver(to, m, data, late, answered)
		if repeated {
			go l.deliver(to, m, data, 50*late, answered)
		}
	}
	select {
	case a := <-answered:
		return json.Unmarshal(a, answer)
	case <-ctx.Done():
		return shards.Error.Wrap(ctx.Err())
	}
}

// deliver carries a message to its process and the answer back, even if the sender has stopped waiting.
func (l *link) deliver(to *link, m figpier.Method, data []byte, late time.Duration, answered chan<- []byte) {
	time.Sleep(late)
	if !l.waitWhileFrozen(l.work) || !to.waitWhileFrozen(l.work) || to.work == nil || to.work.Err() != nil {
		return
	}
	h, ok := to.handlers[m]
	if !ok {
		return
	}
	a, err := h(to.work, func(message any) error { return json.Unmarshal(data, message) })
	if err != nil {
		return
	}
	lost, _, late := l.network.drawDelivery(m, to.address, l.address)
	time.Sleep(late)
	if lost || !to.waitWhileFrozen(l.work) || !l.waitWhileFrozen(l.work) {
		return
	}
	if text, err := json.Marshal(a); err == nil {
		answered <- text
	}
}
