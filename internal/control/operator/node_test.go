package operator

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/gen/http/operator/client"
	"github.com/figpier/figpier/internal/wire/message"
)

var (
	_ figpier.Registry  = fakeRegistry{}
	_ figpier.Messenger = (*fakeMessenger)(nil)
)

// fakeRegistry holds one node, dates-1.
type fakeRegistry struct{ noopService }

func (fakeRegistry) Name() figpier.ServiceName                     { return figpier.RegistryService }
func (fakeRegistry) Announce(*figpier.Member, time.Duration, bool) {}
func (fakeRegistry) ID() string                                    { return "r" }
func (fakeRegistry) Settled(time.Time) bool                        { return true }
func (fakeRegistry) Count() int                                    { return 1 }

func (fakeRegistry) CountPolling(time.Time) (local, all int) { return 1, 1 }
func (fakeRegistry) PolledTime(time.Time) time.Duration      { return 0 }
func (fakeRegistry) RemoveSource(figpier.InstanceID)         {}

func (fakeRegistry) Merge(figpier.InstanceID, figpier.MemberDelta, bool) {}

func (r fakeRegistry) LocalSince(version uint64) figpier.MemberDelta { return r.Since(version) }

func (fakeRegistry) Since(uint64) figpier.MemberDelta {
	m := figpier.NewMember(figpier.MemberConfig{Instance: "dates-1", Service: "dates", MessageAddress: "127.0.0.1:7001"})
	return figpier.NewMemberDelta(figpier.MemberDeltaConfig{Members: []*figpier.Member{m}})
}

// fakeMessenger answers in place of the node dates-1, with err if it is set.
type fakeMessenger struct {
	noopService
	err error
}

func (*fakeMessenger) Name() figpier.ServiceName                     { return figpier.MessengerService }
func (*fakeMessenger) Handle(figpier.Method, figpier.MessageHandler) {}

func (m *fakeMessenger) Request(_ context.Context, address string, method figpier.Method, _, answer any) error {
	if address != "127.0.0.1:7001" || method != figpier.MethodExplain {
		return io.ErrUnexpectedEOF
	}
	*answer.(*message.Explanation) = message.Explanation{Bindings: []message.Binding{
		{Kind: "retry-share", Service: "dates", Customer: "valv", SinceMillis: 1500, Count: 3, Limit: 0.1},
	}}
	return m.err
}

// fakeLog reports a fixed time since the last contact with a quorum.
type fakeLog struct {
	figpier.ReplicatedLog
	age time.Duration
}

func (*fakeLog) Name() figpier.ServiceName { return figpier.ReplicaService }

func (*fakeLog) Start(context.Context, figpier.Directory) error { return nil }
func (*fakeLog) Stop(context.Context) error                     { return nil }
func (*fakeLog) Leader() figpier.InstanceID                     { return "" }

func (l *fakeLog) QuorumAge(time.Time) time.Duration { return l.age }

func TestInstanceWithoutQuorumRefusesReads(t *testing.T) {
	l := &fakeLog{age: maxQuorumAge}
	_, url := startServer(t, l)
	paths := []string{"/v1/profiles", "/v1/profiles/booking", "/v1/assignments", "/v1/keys"}
	for _, p := range paths {
		assert.Equal(t, send(t, "GET", url+p, "", nil), http.StatusOK, p)
	}
	l.age++
	for _, p := range paths {
		assert.Equal(t, send(t, "GET", url+p, "", nil), http.StatusBadGateway, p)
	}
	assert.Equal(t, send(t, "GET", url+"/v1/status", "", nil), http.StatusOK)
}

// noopService supplies Start and Stop to fakes that need neither.
type noopService struct{}

func (noopService) Start(context.Context, figpier.Directory) error { return nil }
func (noopService) Stop(context.Context) error                     { return nil }

func TestViewNodeAsksTheNode(t *testing.T) {
	m := &fakeMessenger{}
	_, url := startServer(t, fakeRegistry{}, m)
	var view client.ViewNodeResponseBody
	assert.Equal(t, send(t, "GET", url+"/v1/nodes/dates-1", "", &view), http.StatusOK)
	assert.Equal(t, *view.Service, "dates")
	assert.Equal(t, *view.Bindings[0].Customer, "valv")
	assert.Equal(t, *view.Bindings[0].SinceMillis, int64(1500))
	assert.Equal(t, send(t, "GET", url+"/v1/nodes/none", "", nil), http.StatusNotFound)

	m.err = io.ErrClosedPipe
	var f client.ApplyProfileInvalidResponseBody
	assert.Equal(t, send(t, "GET", url+"/v1/nodes/dates-1", "", &f), http.StatusBadGateway)
	assert.Equal(t, *f.Name, failureUnreached)
}
