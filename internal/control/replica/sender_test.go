package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/raft"
	"github.com/figpier/figpier/internal/wire/message"
)

// silentMessenger answers no request before the context ends, and records what it was asked to send.
type silentMessenger struct {
	endpoint
	mu   sync.Mutex
	sent []message.ReplicaMessage
}

func (m *silentMessenger) Request(ctx context.Context, _ string, _ figpier.Method, question, _ any) error {
	m.mu.Lock()
	m.sent = append(m.sent, question.(message.ReplicaMessage))
	m.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// sentMessages returns the number of messages that were sent.
func (m *silentMessenger) sentMessages() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.sent)
}

func newAppend(address string, commandBytes int) *raft.Message {
	c := raft.MessageConfig{Kind: raft.KindAppend, Address: address}
	if commandBytes > 0 {
		command := []byte(strings.Repeat("x", commandBytes))
		c.Entries = []*raft.Entry{raft.NewEntry(raft.EntryConfig{Index: 1, Term: 1, Kind: raft.EntryCommand, Command: command})}
	}
	return raft.NewMessage(c)
}

// TestEntriesOnTheWayToASilentMemberAreBoundedBySize guards against copies of large entries that pile up on the way to a member that is
// down or slow: the number of unanswered messages was limited, but not what they carry.
func TestEntriesOnTheWayToASilentMemberAreBoundedBySize(t *testing.T) {
	s := newSender(t.Context(), &silentMessenger{})
	large, small, heartbeats := 0, 0, 0
	for range maxInFlight / 2 {
		if s.acquire("c1", maxInFlightBytes*3/4) {
			large++
		}
		if s.acquire("c2", maxInFlightBytes/4) {
			small++
		}
		// Messages without entries are not held up by those with entries.
		if s.acquire("c1", 0) {
			heartbeats++
		}
	}
	assert.Equal(t, large, 1)
	assert.Equal(t, small, 4)
	assert.Equal(t, heartbeats, maxInFlight/2)

	s.release("c1", maxInFlightBytes*3/4)
	assert.Assert(t, s.acquire("c1", 10*maxInFlightBytes), "one message is sent whatever its size")
	assert.Assert(t, !s.acquire("c1", 1))
	s.release("c1", 10*maxInFlightBytes)
	for range heartbeats {
		s.release("c1", 0)
	}
	for range small {
		s.release("c2", maxInFlightBytes/4)
	}
	assert.Equal(t, len(s.inFlight), 0)
	assert.Assert(t, newAppend("c1", maxInFlightBytes).Size() > maxInFlightBytes)
}

// TestCommandsAreCompressedForReadersOnly guards against compressed commands for a member of an earlier build, which can't read them.
func TestCommandsAreCompressedForReadersOnly(t *testing.T) {
	m := &silentMessenger{}
	s := newSender(t.Context(), m)
	sendOne := func(n int) string {
		s.send([]*raft.Message{newAppend("c1", 64<<10)})
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if m.sentMessages() == n {
				return poll.Success()
			}
			return poll.Continue("message %d is sent", n)
		}, poll.WithTimeout(time.Minute))
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.sent[n-1].Entries[0].Command
	}
	plain := sendOne(1)
	s.setCompression("c1", true)
	compressed := sendOne(2)
	assert.Assert(t, len(compressed) < len(plain)/10)
	s.setCompression("c1", false)
	assert.Equal(t, sendOne(3), plain)
}

// earlierBuild is an endpoint whose messages are those of a build that doesn't know of compression.
type earlierBuild struct {
	endpoint
}

func (e *earlierBuild) Request(ctx context.Context, address string, m figpier.Method, question, answer any) error {
	if w, ok := question.(message.ReplicaMessage); ok {
		w.Compression = nil
		question = w
	}
	return e.endpoint.Request(ctx, address, m, question, answer)
}

func (e *earlierBuild) Handle(m figpier.Method, h figpier.MessageHandler) {
	e.endpoint.Handle(m, func(ctx context.Context, decode figpier.Decode) (any, error) {
		var text json.RawMessage
		if err := decode(&text); err != nil {
			return nil, err
		}
		if strings.Contains(string(text), `"command":"~`) {
			return nil, Error.New("illegal base64")
		}
		return h(ctx, func(into any) error { return json.Unmarshal(text, into) })
	})
}

// TestLargeEditsReachMembersOfAnEarlierBuild guards against a log that stops while the control instances are changed to a new build one
// after the other.
func TestLargeEditsReachMembersOfAnEarlierBuild(t *testing.T) {
	c := newCluster(t)
	c.waitForLeader()
	for _, i := range c.instances {
		c.waitUntilVoter(i)
	}
	old := c.instances[1]
	old.stop()
	old.newMessenger = func(e endpoint) figpier.Messenger { return &earlierBuild{endpoint: e} }
	old.start()
	for n := 1; n <= 9; n++ {
		c.eventually(fmt.Sprintf("table %d is accepted", n), func() bool {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := c.instances[n%3].catalog.Submit(ctx, newTableEdit(n, 64<<10))
			return err == nil
		})
		c.eventually("the member of the earlier build has the table", func() bool {
			table := old.catalog.Configuration().Table()
			return table != nil && table.Number() == uint64(n)
		})
	}
}
