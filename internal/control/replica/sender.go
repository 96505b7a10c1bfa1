package replica

import (
	"context"
	"sync"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/raft"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// maxInFlight limits the unanswered messages to one address. Messages beyond it are dropped; the protocol repeats lost messages.
const maxInFlight = 16

// sender sends messages to other members, each on its own goroutine.
type sender struct {
	ctx       context.Context
	messenger figpier.Messenger

	mu sync.Mutex
	// inFlight is the number of unanswered messages by address.
	inFlight map[string]int
}

func newSender(ctx context.Context, m figpier.Messenger) *sender {
	return &sender{ctx: ctx, messenger: m, inFlight: map[string]int{}}
}

func (s *sender) send(messages []*raft.Message) {
	for _, m := range messages {
		if s.acquire(m.Address()) {
			go s.deliver(m)
		}
	}
}

func (s *sender) deliver(m *raft.Message) {
	defer s.release(m.Address())
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	var received message.ReplicaReceived
	_ = s.messenger.Request(ctx, m.Address(), figpier.MethodReplica, codec.FromReplicaMessage(m), &received)
}

// acquire counts a message to an address, and returns false when too many are unanswered.
func (s *sender) acquire(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[address] >= maxInFlight {
		return false
	}
	s.inFlight[address]++
	return true
}

func (s *sender) release(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[address]--
	if s.inFlight[address] == 0 {
		delete(s.inFlight, address)
	}
}
