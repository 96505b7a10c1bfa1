package logs

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/kernel/registry"
)

// fakeClock returns a time that the test sets.
type fakeClock struct {
	now time.Time
}

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) AfterFunc(time.Duration, func()) (cancel func()) { return func() {} }

// newTestRequests returns a request log at a level, with its output and its clock.
func newTestRequests(t *testing.T, level string) (*Requests, *bytes.Buffer, *fakeClock) {
	t.Helper()
	out, clock := &bytes.Buffer{}, &fakeClock{now: time.Unix(1, 0)}
	l, err := New(Config{Output: out, Level: level, Instance: "node-a"})
	assert.NilError(t, err)
	q := NewRequests(l)
	assert.NilError(t, q.Start(t.Context(), registry.New(registry.Config{Clock: clock})))
	return q, out, clock
}

func decodeLines(t *testing.T, out *bytes.Buffer) []map[string]any {
	t.Helper()
	var decoded []map[string]any
	for l := range bytes.Lines(out.Bytes()) {
		line := map[string]any{}
		assert.NilError(t, json.Unmarshal(l, &line))
		delete(line, "time")
		decoded = append(decoded, line)
	}
	return decoded
}

func sampleCall() *figpier.Call {
	return figpier.NewCall(figpier.CallConfig{RequestID: "r1", Customer: "valv", Service: "booking"})
}

func TestRefusedWritesOneObjectPerLine(t *testing.T) {
	q, out, _ := newTestRequests(t, "")
	q.Refused(sampleCall(), figpier.NewRefusal(figpier.RefusalConfig{Reason: figpier.RefusalOverRate, Detail: "a\nb"}))
	q.Refused(nil, figpier.Refuse(figpier.RefusalKeyMissing))
	q.Retried(sampleCall(), figpier.RetryUnreached)
	q.Retried(sampleCall(), figpier.NoRetryDone)
	assert.DeepEqual(t, decodeLines(t, out), []map[string]any{
		{
			"level": "info", "msg": "refused: the customer is over its rate and burst (a\nb)", "instance": "node-a",
			"requestId": "r1", "customer": "valv", "service": "booking", "reason": "over-rate", "notRun": true,
		},
		{
			"level": "info", "msg": "refused: the request has no key: send one in Figpier-Key", "instance": "node-a",
			"reason": "key-missing", "notRun": true,
		},
		{
			"level": "info", "msg": "retry decided", "instance": "node-a",
			"requestId": "r1", "customer": "valv", "service": "booking", "reason": "unreached",
		},
	})
}

// fakeView is a node's view with a table that was confirmed at a time.
type fakeView struct {
	figpier.ConfigurationView
	confirmed time.Time
}

func (*fakeView) Name() figpier.ServiceName { return figpier.ConfigurationService }

func (*fakeView) Configuration() *figpier.Configuration {
	t := figpier.NewTable(figpier.TableConfig{Number: 12, Revision: 7})
	return figpier.NewConfiguration(figpier.ConfigurationConfig{Revision: 7, Table: t})
}

func (v *fakeView) Confirmed() time.Time { return v.confirmed }

// TestRefusedNamesTheViewThatDecided guards against denials of which nobody can tell afterwards whether the node was late or right.
func TestRefusedNamesTheViewThatDecided(t *testing.T) {
	out, clock := &bytes.Buffer{}, &fakeClock{now: time.Unix(10, 0)}
	l, err := New(Config{Output: out, Instance: "node-a"})
	assert.NilError(t, err)
	q := NewRequests(l)
	k := registry.New(registry.Config{Clock: clock})
	assert.NilError(t, k.Register(&fakeView{confirmed: clock.now.Add(-1500 * time.Millisecond)}))
	assert.NilError(t, q.Start(t.Context(), k))
	q.Refused(figpier.NewCall(figpier.CallConfig{RequestID: "r1"}), figpier.Refuse(figpier.RefusalNoRoute))
	line := decodeLines(t, out)[0]
	assert.Equal(t, line["requestId"], "r1")
	assert.Equal(t, line["table"], 12.0)
	assert.Equal(t, line["revision"], 7.0)
	assert.Equal(t, line["viewAgeMillis"], 1500.0)
}

func TestExcessRefusalsAreDroppedAndCounted(t *testing.T) {
	q, out, clock := newTestRequests(t, "info")
	for range maxLinesPerWindow + 30 {
		q.Refused(sampleCall(), figpier.Refuse(figpier.RefusalOverload))
	}
	q.Refused(sampleCall(), figpier.Refuse(figpier.RefusalCutOff))
	assert.Equal(t, len(decodeLines(t, out)), maxLinesPerWindow+1)
	clock.now = clock.now.Add(windowLength)
	out.Reset()
	q.Refused(sampleCall(), figpier.Refuse(figpier.RefusalOverload))
	assert.Equal(t, decodeLines(t, out)[0][FieldLeftOut], 30.0)
}

func TestDebugDropsNothing(t *testing.T) {
	q, out, _ := newTestRequests(t, "debug")
	for range 2 * maxLinesPerWindow {
		q.Refused(sampleCall(), figpier.Refuse(figpier.RefusalOverload))
	}
	assert.Equal(t, len(decodeLines(t, out)), 2*maxLinesPerWindow)
}

func TestWarnLevelOmitsRequests(t *testing.T) {
	q, out, _ := newTestRequests(t, "warn")
	q.Refused(sampleCall(), figpier.Refuse(figpier.RefusalOverload))
	_, err := NewStandardWriter(q.entry).Write([]byte("http: TLS handshake error\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, decodeLines(t, out), []map[string]any{
		{"level": "warning", "msg": "http: TLS handshake error", "instance": "node-a"},
	})
}

func TestNewRejectsUnknownLevel(t *testing.T) {
	_, err := New(Config{Output: &bytes.Buffer{}, Level: "loud"})
	assert.Assert(t, Error.Has(err))
}

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

func TestBlockedOutputDoesNotBlockQueue(t *testing.T) {
	output := blockedWriter{release: make(chan struct{})}
	defer close(output.release)
	queue := NewQueue(output)
	l, err := New(Config{Output: queue, Instance: "node-a"})
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			l.Info("line")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing to the queue blocks on its output")
	}
	assert.Assert(t, queue.Dropped() >= maxQueuedLines)
}

// failingWriter fails each write, and reports it to written.
type failingWriter struct{ written chan struct{} }

func (w failingWriter) Write([]byte) (int, error) {
	w.written <- struct{}{}
	return 0, os.ErrClosed
}

func TestLinesOfFailedWritesStayCounted(t *testing.T) {
	w := failingWriter{written: make(chan struct{}, 3)}
	q := NewQueue(w)
	for range 3 {
		_, err := q.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	for range 3 {
		<-w.written
	}
	q.Flush()
	assert.Equal(t, q.Dropped(), int64(3))
}

func TestRoutedLogsMemberAndOutcome(t *testing.T) {
	q, out, _ := newTestRequests(t, "")
	m := figpier.NewMember(figpier.MemberConfig{Instance: "node-b"})
	q.Routed(sampleCall(), m, 500, figpier.NewOutcome(figpier.OutcomeDone, 1500*time.Millisecond))
	q.Routed(sampleCall(), m, 0, figpier.NewOutcome(figpier.OutcomeUnreached, time.Millisecond))
	all := decodeLines(t, out)
	assert.Equal(t, len(all), 2)
	assert.Equal(t, all[0][FieldMember], "node-b")
	assert.Equal(t, all[0][FieldStatus], 500.0)
	assert.Equal(t, all[0][FieldMillis], 1500.0)
	assert.Equal(t, all[1][FieldReason], "unreached")
}
