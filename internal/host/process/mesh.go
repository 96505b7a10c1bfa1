package process

import (
	"crypto/rand"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/xxh3"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/control/catalog"
	"github.com/figpier/figpier/internal/control/exchange"
	"github.com/figpier/figpier/internal/control/members"
	"github.com/figpier/figpier/internal/control/pool"
	"github.com/figpier/figpier/internal/control/replica"
	"github.com/figpier/figpier/internal/control/subscription"
	"github.com/figpier/figpier/internal/host/logs"
	"github.com/figpier/figpier/internal/host/metrics"
	"github.com/figpier/figpier/internal/host/seeds"
	"github.com/figpier/figpier/internal/host/settings"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
	"github.com/figpier/figpier/internal/link/jsonrpc"
	"github.com/figpier/figpier/internal/traffic/admission"
	"github.com/figpier/figpier/internal/traffic/configview"
	"github.com/figpier/figpier/internal/traffic/cutoffs"
	"github.com/figpier/figpier/internal/traffic/delivery"
	"github.com/figpier/figpier/internal/traffic/forward"
	"github.com/figpier/figpier/internal/traffic/quota"
	"github.com/figpier/figpier/internal/traffic/ranks"
	"github.com/figpier/figpier/internal/traffic/router"
	"github.com/figpier/figpier/internal/traffic/stopping"
	"github.com/figpier/figpier/internal/traffic/tablegate"
	"github.com/figpier/figpier/internal/traffic/upstream"
	"github.com/figpier/figpier/platform"
)

// Timing and retry parameters of a node or control instance in a mesh.
const (
	// freshnessFraction is the fraction of the withdrawal time for which a view stays valid; the rest allows for clock drift.
	freshnessFraction = 0.8
	// drainNoticeFraction is the fraction of the drain time in which new requests are still accepted; the rest is left to
	// requests in flight.
	drainNoticeFraction = 0.5
	// servingFraction is the fraction of the grace time in which open connections are served; the rest is left to the last
	// responses.
	servingFraction = 0.6
	// maxOpenTime is how long a stopping node takes requests whatever time they have left. Those that are sent later than three
	// seconds after the signal may not be cut; the rest allows for a signal that is noticed late.
	maxOpenTime = 2500 * time.Millisecond
	// openFraction bounds the open time by a fraction of the grace time.
	openFraction = 0.5
	// requestEndFraction is the fraction of the grace time after which requests in flight are ended. Those whose backend server is
	// still at work may be ended in its last sixth only.
	requestEndFraction = 0.88
	// stopFraction is the fraction of the grace time after which a planned stop is over; the rest is left to the end of the process.
	stopFraction = 0.93
	// graceMargin is the time between the end of a control instance's planned stop and the kill of the process.
	graceMargin = time.Second
	// backendTimeout is the age at which the backend server's last announcement expires. It spans several announcement
	// intervals, as announcements can be seconds late.
	backendTimeout = 15 * time.Second
	// meshPollWait is how long a control instance holds a poll that has no news. A node detects an unresponsive control
	// instance after meshPollWait plus meshAnswerTimeout. This has to leave time to put a configuration in force within two seconds
	// of its acceptance.
	meshPollWait = 600 * time.Millisecond
	// meshAnswerTimeout is how long a node waits for the answer to a poll beyond meshPollWait: many round trips between regions.
	meshAnswerTimeout = 400 * time.Millisecond
	// meshExchangeWait is how long a poll between control instances is held. Each poll sends a kilobyte between regions.
	meshExchangeWait = 2500 * time.Millisecond
	// meshMemberTimeout is how long the members of an unresponsive control instance are kept: two unanswered polls.
	meshMemberTimeout = 6 * time.Second
	// meshHeartbeatInterval is the time between two heartbeats of the leader: a quarter of meshMaxQuorumAge, so that one lost
	// message does not make a follower stale.
	meshHeartbeatInterval = 250 * time.Millisecond
	// meshElectionTimeout is the shortest election timeout: several heartbeats and round trips between regions.
	meshElectionTimeout = 900 * time.Millisecond
	// meshMaxQuorumAge is the time since its last proof of a quorum after which a control instance counts as behind: several
	// heartbeats of the leader.
	meshMaxQuorumAge = time.Second
	// defaultPropagation is the time in which a routing table is expected to be in force if the settings don't tell it: the greatest
	// age of a view whose polls are answered in time. A longer one would let a node deny requests by a table of which it can't know
	// that it is the newest; with a shorter one, nodes would answer 503 while nothing is wrong.
	defaultPropagation = meshMaxQuorumAge + meshPollWait + meshAnswerTimeout
	// usedRetryFraction is the fraction of the allowed retries that a node makes, as a retry also repeats the calls further down
	// the call tree.
	usedRetryFraction = 0.5
	// freeRetriesPerNode is the number of retries to a service that a node may make in a window regardless of its traffic. It is
	// small because all nodes share the slack.
	freeRetriesPerNode = 0.5
)

// NewMeshNode returns the kernel of a node that routes by the routing table, with its services registered in the order in which
// they start.
func NewMeshNode(s *settings.Settings, l *logrus.Entry) (*registry.Kernel, error) {
	m := s.Mesh()
	service := figpier.UpstreamService(m.Service)
	instance := newIncarnation(s)
	k := registry.New(registry.Config{Clock: system.Clock{}})
	logPropagation(m, l)
	return k, registerAll(k,
		logs.NewRequests(l),
		newMemoryBound(s, l),
		metrics.New(metrics.Config{Address: s.Metrics()}),
		seeds.New(seeds.Config{Path: s.Path(), Seeds: m.Seeds, Read: seedAddresses, Log: l}),
		jsonrpc.New(jsonrpc.Config{AnswerTimeout: defaultAnswerTimeout}),
		configview.New(meshViewConfig(s, instance, l)),
		quota.New(quota.Config{Window: m.Quota.Window, OverageFraction: m.Quota.Share, SlackRequests: m.Quota.Slack, Log: l}),
		ranks.New(),
		cutoffs.New(),
		admission.New(admission.Config{Service: service, FixedLimit: true}),
		router.New(router.Config{
			DataCentre: figpier.DataCentre(s.DataCentre()),
			Region:     figpier.Region(s.Region()),
			Seed:       xxh3.HashString(string(instance)),
		}),
		tablegate.New(meshGateConfig(s)),
		platform.NewHealthCheck(),
		upstream.New(upstream.Config{
			Address:             m.Backend,
			AnnouncementTimeout: backendTimeout,
			DrainNotice:         scaleDuration(m.Drain, drainNoticeFraction),
			Member:              meshMemberConfig(s, instance),
			Log:                 l,
		}),
		platform.NewUpstreamAdapter(platform.UpstreamAdapterConfig{Address: m.Announcements, Service: service, Log: l}),
		delivery.New(delivery.Config{Address: m.Peers, Service: service}),
		forward.New(forward.Config{
			Instance:    instance,
			RetryShare:  usedRetryFraction * m.Retries.Share,
			RetryWindow: m.Retries.Window,
			FreeRetries: freeRetriesPerNode,
		}),
		platform.NewReadinessProbe(platform.ReadinessProbeConfig{Address: m.Readiness}),
		platform.NewCallerListener(platform.CallerListenerConfig{Address: m.Callers}),
		stopping.New(stopping.Config{
			OpenTime:  min(maxOpenTime, scaleDuration(m.Grace, openFraction)),
			DrainTime: scaleDuration(m.Grace, servingFraction),
			EndTime:   scaleDuration(m.Grace, requestEndFraction),
			Log:       l,
		}),
	)
}

// meshViewConfig returns the configuration of the view of a mesh node.
func meshViewConfig(s *settings.Settings, instance figpier.InstanceID, l *logrus.Entry) configview.Config {
	return configview.Config{
		DataCentre:    figpier.DataCentre(s.DataCentre()),
		Region:        figpier.Region(s.Region()),
		Seed:          xxh3.HashString(string(instance)),
		Freshness:     scaleDuration(s.Mesh().Withdrawal, freshnessFraction),
		StaleMargin:   defaultStaleMargin,
		MaxQuorumAge:  meshMaxQuorumAge,
		PollWait:      meshPollWait,
		AnswerTimeout: meshAnswerTimeout,
		RetryPause:    defaultRetryPause,
		Log:           l,
	}
}

// meshGateConfig returns the configuration of the gate of a mesh node.
func meshGateConfig(s *settings.Settings) tablegate.Config {
	return tablegate.Config{
		Service:     figpier.UpstreamService(s.Mesh().Service),
		Propagation: s.Mesh().Propagation.Or(defaultPropagation),
	}
}

// logPropagation logs the time in which the node expects a routing table to be in force, and whether the settings tell it.
func logPropagation(m *settings.MeshSettings, l *logrus.Entry) {
	l = l.WithField("propagation", m.Propagation.Or(defaultPropagation).String())
	if m.Propagation == 0 {
		l.Warn("the settings lack mesh.propagation: using the default")
		return
	}
	l.Info("using mesh.propagation of the settings")
}

// seedAddresses returns the seeds of a mesh node or of a control instance, none for settings of another kind of process.
func seedAddresses(s *settings.Settings) []string {
	switch {
	case s.Mesh() != nil:
		return s.Mesh().Seeds
	case s.Control() != nil:
		return s.Control().Seeds
	}
	return nil
}

// newIncarnation returns an instance name that is unique to this start of the process, so that announcements of an earlier start
// are not attributed to it.
func newIncarnation(s *settings.Settings) figpier.InstanceID {
	return figpier.InstanceID(s.Instance() + "/" + rand.Text()[:8])
}

// meshMemberConfig returns what the node announces of itself to control instances.
func meshMemberConfig(s *settings.Settings, instance figpier.InstanceID) figpier.MemberConfig {
	return figpier.MemberConfig{
		Instance:    instance,
		Service:     figpier.UpstreamService(s.Mesh().Service),
		DataCentre:  figpier.DataCentre(s.DataCentre()),
		Region:      figpier.Region(s.Region()),
		PeerAddress: s.Mesh().Peers,
	}
}

// scaleDuration returns a duration multiplied by a factor.
func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// newSeededControl returns the kernel of a control instance that finds the other ones through seed addresses.
func newSeededControl(s *settings.Settings, l *logrus.Entry) (*registry.Kernel, error) {
	c := s.Control()
	k := registry.New(registry.Config{Clock: system.Clock{}})
	log := replica.New(replica.Config{
		Instance:        figpier.InstanceID(s.Instance()),
		Address:         s.Messages(),
		DataFolder:      c.DataFolder,
		Seeded:          true,
		Founder:         c.Founder,
		TargetVoters:    2*c.Losses + 1,
		Heartbeat:       meshHeartbeatInterval,
		ElectionTimeout: meshElectionTimeout,
		Log:             l,
	})
	states := catalog.New()
	log.SetStateMachine(states)
	return k, registerAll(k,
		newMemoryBound(s, l),
		metrics.New(metrics.Config{Address: s.Metrics()}),
		seeds.New(seeds.Config{Path: s.Path(), Seeds: c.Seeds, Read: seedAddresses, Log: l}),
		jsonrpc.New(jsonrpc.Config{Address: s.Messages(), AnswerTimeout: defaultAnswerTimeout, Compress: true}),
		log,
		states,
		members.New(members.Config{Lease: defaultMemberLease}),
		exchange.New(exchange.Config{
			Place:          newControlPlace(s),
			PollWait:       meshExchangeWait,
			AnswerTimeout:  defaultAnswerTimeout,
			RetryPause:     defaultRetryPause,
			SilenceTimeout: meshMemberTimeout,
		}),
		subscription.New(subscription.Config{Log: l}),
		pool.New(pool.Config{
			Address:         s.Messages(),
			Window:          c.Quota.Window,
			OverageFraction: c.Quota.Share,
			SlackRequests:   c.Quota.Slack,
			Log:             l,
		}),
		platform.NewOperatorAPI(platform.OperatorAPIConfig{Address: c.Tables, Log: l}),
	)
}
