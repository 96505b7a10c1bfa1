package replica

import (
	"context"
	"sync"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/raft"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

const (
	// maxInFlight and maxInFlightBytes limit the number of unanswered messages to one address and the size of what they carry. Messages
	// beyond that are dropped, as the protocol repeats lost messages; one is always sent, whatever its size.
	maxInFlight      = 16
	maxInFlightBytes = 1 << 20
	// slowestBytesPerSecond is the slowest transfer that a large message still has time for.
	slowestBytesPerSecond = 4 << 20
)

// sender sends messages to other members, each on its own goroutine.
type sender struct {
	ctx       context.Context
	messenger figpier.Messenger

	mu sync.Mutex
	// inFlight is the load of unanswered messages by address.
	inFlight map[string]load
	// compression holds the addresses whose last message said that they read compressed commands.
	compression map[string]bool
}

// load is the number of messages and the size of what they carry.
type load struct {
	messages int
	bytes    int
}

func newSender(ctx context.Context, m figpier.Messenger) *sender {
	return &sender{ctx: ctx, messenger: m, inFlight: map[string]load{}, compression: map[string]bool{}}
}

func (s *sender) send(messages []*raft.Message) {
	for _, m := range messages {
		if size := m.Size(); s.acquire(m.Address(), size) {
			go s.deliver(m, size)
		}
	}
}

func (s *sender) deliver(m *raft.Message, size int) {
	defer s.release(m.Address(), size)
	ctx, cancel := context.WithTimeout(s.ctx, transferTimeout(size))
	defer cancel()
	var received message.ReplicaReceived
	w := codec.FromReplicaMessage(m, s.readsCompression(m.Address()))
	_ = s.messenger.Request(ctx, m.Address(), figpier.MethodReplica, w, &received)
}

// transferTimeout returns the time within which a request that carries a number of bytes must be answered.
func transferTimeout(size int) time.Duration {
	return requestTimeout + time.Duration(size)*time.Second/slowestBytesPerSecond
}

// acquire counts a message to an address, and returns false when too much is unanswered.
func (s *sender) acquire(address string, size int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.inFlight[address]
	if l.messages >= maxInFlight || l.bytes > 0 && size > 0 && l.bytes+size > maxInFlightBytes {
		return false
	}
	s.inFlight[address] = load{messages: l.messages + 1, bytes: l.bytes + size}
	return true
}

func (s *sender) release(address string, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.inFlight[address]
	if l.messages == 1 {
		delete(s.inFlight, address)
		return
	}
	s.inFlight[address] = load{messages: l.messages - 1, bytes: l.bytes - size}
}

// setCompression records whether the process at an address reads compressed commands, as its latest message says.
func (s *sender) setCompression(address string, reads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reads {
		s.compression[address] = true
	} else {
		delete(s.compression, address)
	}
}

func (s *sender) readsCompression(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compression[address]
}
