package jsonrpc

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
)

// text is the message of the tests.
type text struct {
	Text string `json:"text"`
}

// startMessenger runs a messenger that echoes messages, until the test ends.
func startMessenger(t *testing.T, c Config) *Messenger {
	t.Helper()
	m := New(c)
	m.Handle("echo", func(_ context.Context, decode figpier.Decode) (any, error) {
		var received text
		err := decode(&received)
		return received, err
	})
	m.Handle("stuck", func(ctx context.Context, _ figpier.Decode) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	k := registry.New(registry.Config{Clock: system.Clock{}})
	started := make(chan struct{})
	assert.NilError(t, k.Register(m))
	assert.NilError(t, k.Register(startMarker(started)))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), time.Second)
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	<-started
	return m
}

// startMarker is a service that is closed when it starts, after all services that were registered before it.
type startMarker chan struct{}

func (startMarker) Name() figpier.ServiceName { return "test.started" }
func (s startMarker) Start(context.Context, figpier.Directory) error {
	close(s)
	return nil
}
func (startMarker) Stop(context.Context) error { return nil }

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	return address
}

// echo sends a text and checks that it comes back.
func echo(t *testing.T, m *Messenger, address, sent string) {
	t.Helper()
	var answer text
	assert.NilError(t, m.Request(t.Context(), address, "echo", text{Text: sent}, &answer))
	assert.Equal(t, answer.Text, sent)
}

func TestCompressedAndPlainConnectionsCarryTheSameMessages(t *testing.T) {
	address := freeAddress(t)
	startMessenger(t, Config{Address: address, AnswerTimeout: 10 * time.Second})
	for _, compress := range []bool{false, true} {
		m := startMessenger(t, Config{AnswerTimeout: 10 * time.Second, Compress: compress})
		for _, sent := range []string{"", "a", strings.Repeat("long ", 10_000), "b"} {
			echo(t, m, address, sent)
		}
	}
}

// TestRepeatedMessagesCostLittle guards the price of messages between regions: most of them repeat the one before.
func TestRepeatedMessagesCostLittle(t *testing.T) {
	address := freeAddress(t)
	startMessenger(t, Config{Address: address, AnswerTimeout: 10 * time.Second})
	m := startMessenger(t, Config{AnswerTimeout: 10 * time.Second, Compress: true})
	sent := strings.Repeat("an instance of a service in a data centre; ", 20)
	echo(t, m, address, sent+"first")
	before, _ := m.bytes.link.Total()
	echo(t, m, address, sent+"second")
	after, _ := m.bytes.link.Total()
	assert.Assert(t, after-before < int64(len(sent))/10, "%d bytes for a message of %d", after-before, len(sent))
}

func TestUnreachedProcessIsToldApart(t *testing.T) {
	for _, compress := range []bool{false, true} {
		m := startMessenger(t, Config{AnswerTimeout: 10 * time.Second, Compress: compress})
		var answer text
		err := m.Request(t.Context(), freeAddress(t), "echo", text{}, &answer)
		unreached := (*figpier.UnreachedError)(nil)
		assert.Assert(t, errors.As(err, &unreached), "%v", err)
	}
}

// TestBrokenCompressionEndsOnlyItsConnection guards against a peer whose bytes can't be decompressed.
func TestBrokenCompressionEndsOnlyItsConnection(t *testing.T) {
	address := freeAddress(t)
	startMessenger(t, Config{Address: address, AnswerTimeout: 10 * time.Second})
	m := startMessenger(t, Config{AnswerTimeout: 10 * time.Second, Compress: true})
	echo(t, m, address, "before")
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Write([]byte{compressedMark, 0xff, 0xff, 0xff, 0xff})
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	echo(t, m, address, "after")
}

// TestTimeoutOfOneRequestKeepsTheConnectionOfOthers guards against a slow handler that ends the requests of others, such as held
// polls, because they share its connection.
func TestTimeoutOfOneRequestKeepsTheConnectionOfOthers(t *testing.T) {
	address := freeAddress(t)
	startMessenger(t, Config{Address: address, AnswerTimeout: 10 * time.Second})
	m := startMessenger(t, Config{AnswerTimeout: 10 * time.Second})
	echo(t, m, address, "open")
	conn, err := m.connection(t.Context(), address)
	assert.NilError(t, err)

	request := func(d time.Duration) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		assert.ErrorIs(t, m.Request(ctx, address, "stuck", text{}, &text{}), context.DeadlineExceeded)
	}
	const timeout = 200 * time.Millisecond
	time.AfterFunc(timeout/2, func() { echo(t, m, address, "between") })
	request(timeout)
	kept, err := m.connection(t.Context(), address)
	assert.NilError(t, err)
	assert.Assert(t, kept == conn)

	// A connection over which nothing comes any more is replaced.
	request(timeout)
	replaced, err := m.connection(t.Context(), address)
	assert.NilError(t, err)
	assert.Assert(t, replaced != conn)
}
