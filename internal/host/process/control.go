package process

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/control/catalog"
	"github.com/figpier/figpier/internal/control/exchange"
	"github.com/figpier/figpier/internal/control/members"
	"github.com/figpier/figpier/internal/control/operator"
	"github.com/figpier/figpier/internal/control/replica"
	"github.com/figpier/figpier/internal/control/shards"
	"github.com/figpier/figpier/internal/control/statemachines"
	"github.com/figpier/figpier/internal/control/subscription"
	"github.com/figpier/figpier/internal/host/certificate"
	"github.com/figpier/figpier/internal/host/metrics"
	"github.com/figpier/figpier/internal/host/settings"
	"github.com/figpier/figpier/internal/kernel/registry"
	"github.com/figpier/figpier/internal/kernel/system"
	"github.com/figpier/figpier/internal/link/jsonrpc"
)

// defaultMemberLease is how long a control instance lists a member that has not renewed its registration.
const defaultMemberLease = 3 * time.Second

// NewControl returns the kernel of a control instance, with its services registered in the order in which they start.
func NewControl(s *settings.Settings, l *logrus.Entry) (*registry.Kernel, error) {
	c := s.Control()
	if len(c.Seeds) > 0 {
		return newSeededControl(s, l)
	}
	tokens, err := operator.ReadTokens(c.OperatorTokens)
	if err != nil {
		return nil, err
	}
	security, err := certificate.Load(s.TLS())
	if err != nil {
		return nil, err
	}
	k := registry.New(registry.Config{Clock: system.Clock{}})
	log := replica.New(replica.Config{
		Instance:   figpier.InstanceID(s.Instance()),
		Address:    s.Messages(),
		DataFolder: c.DataFolder,
		Peers:      replicaPeers(c.Replicas),
		Log:        l,
	})
	states := catalog.New()
	assigner := shards.New(shards.Config{
		Instance:      figpier.InstanceID(s.Instance()),
		LeaseTime:     controlLease,
		MaxClockDrift: controlMaxClockDrift,
		LossTime:      shardLossTimeout,
		Backups:       shardBackups,
		Log:           l,
	})
	log.SetStateMachine(statemachines.New(statemachines.Config{Catalog: states, Shards: assigner}))
	return k, registerAll(k,
		newMemoryBound(s, l),
		metrics.New(metrics.Config{Address: s.Metrics(), TLS: security.Public()}),
		jsonrpc.New(messengerConfig(s, security)),
		log,
		states,
		members.New(members.Config{Lease: defaultMemberLease}),
		exchange.New(exchange.Config{
			Place:          newControlPlace(s),
			PollWait:       defaultPollWait,
			AnswerTimeout:  defaultAnswerTimeout,
			RetryPause:     defaultRetryPause,
			SilenceTimeout: defaultMemberLease,
		}),
		subscription.New(subscription.Config{Log: l}),
		assigner,
		operator.New(operator.Config{
			Instance: figpier.InstanceID(s.Instance()),
			Address:  c.Operators,
			Tokens:   tokens,
			TLS:      security.Public(),
			Log:      l,
		}),
	)
}

// replicaPeers returns the control instances in the settings as members of the replicated log.
func replicaPeers(list []settings.ReplicaSettings) []replica.PeerConfig {
	var all []replica.PeerConfig
	for _, r := range list {
		all = append(all, replica.PeerConfig{
			Instance: figpier.InstanceID(r.Instance),
			Address:  r.Address,
		})
	}
	return all
}

// newControlPlace returns where the control instance runs and accepts messages.
func newControlPlace(s *settings.Settings) figpier.ControlPlace {
	return figpier.NewControlPlace(figpier.ControlPlaceConfig{
		Address:    s.Messages(),
		DataCentre: figpier.DataCentre(s.DataCentre()),
		Region:     figpier.Region(s.Region()),
	})
}
