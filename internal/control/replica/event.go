package replica

import (
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/raft"
)

// baseEvent is embedded in each event to address it to the replicated log.
type baseEvent struct{}

// Target implements figpier.Event.
func (baseEvent) Target() figpier.ServiceName { return figpier.ReplicaService }

// started is posted once by Start and begins the search for an existing log.
type started struct{ baseEvent }

// tick is posted when the member's next deadline is due.
type tick struct{ baseEvent }

// messageReceived carries a message from another member.
type messageReceived struct {
	baseEvent
	message *raft.Message
}

// writesFinished reports that the writes of effects are durable, or err when the disk failed.
type writesFinished struct {
	baseEvent
	effects []*raft.Effects
	err     error
}

// handOver is posted by Stop and asks the leader to transfer the leadership.
type handOver struct{ baseEvent }

// discoveryDue is posted every joinInterval and starts the next round of probes if one is needed.
type discoveryDue struct{ baseEvent }

// probesFinished carries the answers to a round of probes and this instance's own status.
type probesFinished struct {
	baseEvent
	peers []peerStatus
}

// memberRequest runs a function on the member's state for another control instance; verdict has room for one answer.
type memberRequest struct {
	baseEvent
	run     func(m *raft.Machine, now time.Time) error
	verdict chan verdict
}

// verdict says whether this member accepted a request, and otherwise why not and who leads.
type verdict struct {
	accepted bool
	leader   figpier.InstanceID
	address  string
	detail   string
}

// statusRequest asks for this instance's status; answer has room for one.
type statusRequest struct {
	baseEvent
	answer chan peerStatus
}

// peerStatus is a control instance's answer to a probe.
type peerStatus struct {
	member raft.Member
	// cluster is the name of the log that the instance belongs to, empty for none.
	cluster string
	// leaderAddress is the leader's address for messages, empty when unknown.
	leaderAddress string
	// founder says that the instance may take part in founding a log, by the settings of its process.
	founder bool
	// foundingSeeds is the number of seeds that the instance's data folder was made with at the first start, 0 if it was made later.
	foundingSeeds int
}

// mayFound reports whether the instance may take part in founding a log: its process, or an earlier one on the same disk, was a
// part of the first start.
func (p peerStatus) mayFound() bool { return p.founder || p.foundingSeeds > 0 }
