package process

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/host/certificate"
	"github.com/figpier/figpier/internal/host/logs"
	"github.com/figpier/figpier/internal/host/memory"
	"github.com/figpier/figpier/internal/host/metrics"
	"github.com/figpier/figpier/internal/host/settings"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
	"github.com/figpier/figpier/internal/link/jsonrpc"
	"github.com/figpier/figpier/internal/traffic/backend"
	"github.com/figpier/figpier/internal/traffic/caller"
	"github.com/figpier/figpier/internal/traffic/claims"
	"github.com/figpier/figpier/internal/traffic/configview"
	"github.com/figpier/figpier/internal/traffic/cutoffs"
	"github.com/figpier/figpier/internal/traffic/exit"
	"github.com/figpier/figpier/internal/traffic/explanation"
	"github.com/figpier/figpier/internal/traffic/gate"
	"github.com/figpier/figpier/internal/traffic/handles"
	"github.com/figpier/figpier/internal/traffic/leaving"
	"github.com/figpier/figpier/internal/traffic/limiter"
	"github.com/figpier/figpier/internal/traffic/locator"
	"github.com/figpier/figpier/internal/traffic/peer"
	"github.com/figpier/figpier/internal/traffic/ranks"
	"github.com/figpier/figpier/internal/traffic/runner"
	"github.com/figpier/figpier/internal/traffic/shards"
)

// Default timings of a node; some of them also apply to control instances.
const (
	// defaultMaxViewAge is the greatest age of the view of control state with which keys are accepted.
	defaultMaxViewAge = 3 * time.Second
	// defaultStaleMargin is how much older than its freshness limit the view is when running requests that came with a key are
	// cancelled.
	defaultStaleMargin = 500 * time.Millisecond
	// defaultMaxAnnouncementAge is the greatest age of the backend server's announcement.
	defaultMaxAnnouncementAge = 3 * time.Second
	// defaultPollWait is how long a control instance holds a poll that has no news.
	defaultPollWait = 500 * time.Millisecond
	// defaultAnswerTimeout is how long a message may stay unanswered.
	defaultAnswerTimeout = 700 * time.Millisecond
	// defaultRetryPause is the pause after a failed poll.
	defaultRetryPause = 200 * time.Millisecond
	// defaultPingAfter is the idle time after which the connection to another node is pinged, and the time that the ping may take.
	defaultPingAfter = 500 * time.Millisecond
	// defaultPeerPingAfter is the idle time after which the listener for other nodes pings a connection.
	defaultPeerPingAfter = 10 * time.Second
	// defaultLeaveNotice is how long a node goes on serving after it announced that it leaves.
	defaultLeaveNotice = 2 * time.Second
	// defaultGrace is how long a planned stop of a node waits for requests in flight, and how long one of a control instance may
	// take.
	defaultGrace = 30 * time.Second
)

// NewNode returns the kernel of a node with the default policies, with its services registered in the order in which they start.
func NewNode(s *settings.Settings, l *logrus.Entry) (*registry.Kernel, error) {
	return NewNodeWithPolicies(s, l, Adaptive(s))
}

// NewNodeWithPolicies returns the kernel of a node that runs with the given policies, such as the baselines of a benchmark.
func NewNodeWithPolicies(s *settings.Settings, l *logrus.Entry, p PolicyConfig) (*registry.Kernel, error) {
	n := s.Node()
	security, err := certificate.Load(s.TLS())
	if err != nil {
		return nil, err
	}
	clock := system.Clock{}
	k := registry.New(registry.Config{Clock: clock})
	service := figpier.UpstreamService(n.Service)
	exits := exit.New(exit.Config{TLS: security.PeerClient(), PingAfter: defaultPingAfter})
	return k, registerAll(k,
		logs.NewRequests(l),
		newMemoryBound(s, l),
		metrics.New(metrics.Config{Address: s.Metrics(), TLS: security.Public()}),
		jsonrpc.New(messengerConfig(s, security)),
		configview.New(configview.Config{
			Controls:      n.Controls,
			Freshness:     n.Freshness.Or(defaultMaxViewAge),
			StaleMargin:   defaultStaleMargin,
			PollWait:      defaultPollWait,
			AnswerTimeout: defaultAnswerTimeout,
			RetryPause:    defaultRetryPause,
		}),
		handles.New(),
		locator.New(locator.Config{Controls: n.Controls}),
		shards.New(shardsConfig(s)),
		limiter.New(limiter.Config{Instance: figpier.InstanceID(s.Instance()), MaxWait: tokenWaitTimeout}),
		claims.New(),
		ranks.New(),
		cutoffs.New(),
		p.Admission,
		p.Router,
		p.Decider,
		explanation.New(),
		gate.New(gate.Config{Service: service}),
		runner.New(),
		exits,
		backend.New(backend.Config{
			Address:             n.Backend,
			AnnouncementTimeout: n.Announcement.Or(defaultMaxAnnouncementAge),
			DrainNotice:         n.Leaving.Or(defaultLeaveNotice),
			Member:              nodeMemberConfig(s, clock.Now()),
		}, exits),
		peer.New(peer.Config{
			Address:   n.Peers,
			TLS:       security.PeerServer(),
			Service:   service,
			PingAfter: defaultPeerPingAfter,
		}),
		caller.New(caller.Config{Address: n.Callers, TLS: security.Public()}),
		leaving.New(leaving.Config{LeaveNotice: n.Leaving.Or(defaultLeaveNotice)}),
	)
}

// nodeMemberConfig returns what the node announces of itself to control instances. The sequence number is the start time in
// microseconds, so that it increases with each start.
func nodeMemberConfig(s *settings.Settings, started time.Time) figpier.MemberConfig {
	return figpier.MemberConfig{
		Instance:       figpier.InstanceID(s.Instance()),
		Service:        figpier.UpstreamService(s.Node().Service),
		DataCentre:     figpier.DataCentre(s.DataCentre()),
		Region:         figpier.Region(s.Region()),
		PeerAddress:    s.Node().Peers,
		MessageAddress: s.Messages(),
		Sequence:       uint64(started.UnixMicro()),
	}
}

// shardsConfig returns the configuration of the service that hosts shards on a node.
func shardsConfig(s *settings.Settings) shards.Config {
	return shards.Config{
		Instance:      figpier.InstanceID(s.Instance()),
		Address:       s.Messages(),
		DataCentre:    figpier.DataCentre(s.DataCentre()),
		Region:        figpier.Region(s.Region()),
		Controls:      s.Node().Controls,
		TokenLease:    tokenLease,
		MaxClockDrift: tokenMaxClockDrift,
		Retention:     claimRetention,
		RunTimeout:    claimRunTimeout,
	}
}

// messengerConfig returns the configuration of the messenger between processes.
func messengerConfig(s *settings.Settings, c *certificate.Set) jsonrpc.Config {
	return jsonrpc.Config{
		Address:       s.Messages(),
		ServerTLS:     c.PeerServer(),
		ClientTLS:     c.PeerClient(),
		AnswerTimeout: defaultAnswerTimeout,
	}
}

// newMemoryBound returns the bound on the memory of a process.
func newMemoryBound(s *settings.Settings, l *logrus.Entry) *memory.Bound {
	return memory.New(memory.Config{Bytes: int64(s.Memory()) << 20, Log: l})
}

// registerAll registers services in the order in which they start.
func registerAll(k *registry.Kernel, services ...figpier.Service) error {
	for _, s := range services {
		if err := k.Register(s); err != nil {
			return err
		}
	}
	return nil
}

// StopTimeout returns the longest time that a planned stop of the process may take. Where the settings name the time until
// the process is killed, it ends before that.
func StopTimeout(s *settings.Settings) time.Duration {
	if m := s.Mesh(); m != nil {
		return scaleDuration(m.Grace, stopFraction)
	}
	if c := s.Control(); c != nil && c.Grace > 0 {
		return time.Duration(c.Grace) - graceMargin
	}
	if n := s.Node(); n != nil {
		return n.Leaving.Or(defaultLeaveNotice) + n.Grace.Or(defaultGrace)
	}
	return defaultGrace
}
