package replica

import (
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/raft"
)

// HandleEvent implements figpier.EventHandler; it runs on the control thread.
func (l *Log) HandleEvent(now time.Time, e figpier.Event) {
	if l.failed || l.runContext.Err() != nil {
		l.reject(e)
		return
	}
	l.dispatch(now, e)
	l.processEffects(now)
	l.updateProposals(now)
	l.scheduleTick(now)
}

// onHandOver starts to transfer the leadership, or ends the hand-over if no other voter can take it.
func (l *Log) onHandOver() {
	if l.handingOver {
		return
	}
	l.handingOver = true
	if !l.machine.TransferLeadership() {
		l.endHandOver()
	}
}

// endHandOver reports that a hand-over has ended, once: a leader that could not hand over may step down later.
func (l *Log) endHandOver() {
	if !l.handOverEnded {
		l.handOverEnded = true
		close(l.handedOver)
	}
}

func (l *Log) dispatch(now time.Time, e figpier.Event) {
	switch e := e.(type) {
	case started:
		l.discover(now)
	case tick:
		l.machine.Tick(now)
	case messageReceived:
		l.machine.Receive(now, e.message)
	case writesFinished:
		l.onWritesFinished(now, e)
	case handOver:
		l.onHandOver()
	case discoveryDue:
		l.discover(now)
	case probesFinished:
		l.joinOrBootstrap(now, e.peers)
	case memberRequest:
		e.verdict <- l.newVerdict(e.run(l.machine, now))
	case statusRequest:
		e.answer <- l.ownStatus()
	case *proposal:
		l.onProposal(e)
	case forwardFinished:
		l.onForwardFinished(e)
	case proposalExpired:
		l.onProposalExpired(e)
	}
}

// reject answers a request or proposal after the member has failed or stopped; other events are ignored.
func (l *Log) reject(e figpier.Event) {
	switch e := e.(type) {
	case memberRequest:
		e.verdict <- verdict{detail: "the control instance stops"}
	case *proposal:
		e.finish(nil, figpier.NewNotLeaderError(""))
	}
}

// processEffects carries out the member's effects, takes a snapshot if one is due, and publishes the status.
func (l *Log) processEffects(now time.Time) {
	for !l.failed {
		e := l.machine.TakeEffects()
		// Sent first, so that the other members learn of a commit before this one takes the time to apply it.
		l.sendOrQueue(e)
		l.apply(e)
		if !l.compact() {
			break
		}
	}
	l.publish(now)
}

// apply restores the state machine or applies committed commands to it, and answers their proposers.
func (l *Log) apply(e *raft.Effects) {
	if s := e.Restore(); s != nil {
		if err := l.stateMachine.Restore(s.Data()); err != nil {
			l.fail(err)
			return
		}
	}
	for _, n := range e.Committed() {
		if n.Kind() != raft.EntryCommand {
			continue
		}
		answer := l.stateMachine.Apply(n.Index(), n.Command())
		l.finishProposal(n.Proposal(), answer, nil)
	}
}

// sendOrQueue sends messages at once when no write is pending, and otherwise queues them behind the writes: they must not leave before these are durable.
func (l *Log) sendOrQueue(e *raft.Effects) {
	if l.pendingWrites == 0 && !e.HasWrites() {
		l.sender.send(e.Messages())
		return
	}
	if e.HasWrites() || len(e.Messages()) > 0 {
		l.pendingWrites++
		l.writer.enqueue(e)
	}
}

func (l *Log) onWritesFinished(now time.Time, w writesFinished) {
	if w.err != nil {
		l.fail(w.err)
		return
	}
	l.pendingWrites -= len(w.effects)
	for _, e := range w.effects {
		l.sender.send(e.Messages())
		if e.HasWrites() {
			l.machine.WritesDurable(now, e)
		}
	}
}

// compact takes a snapshot if one is due, and reports whether it did.
func (l *Log) compact() bool {
	if l.failed || !l.snapshotDue() {
		return false
	}
	data, err := l.stateMachine.Snapshot()
	if err != nil {
		l.fail(err)
		return false
	}
	l.machine.Compact(data)
	return true
}

// snapshotDue reports whether snapshotEntries entries were committed since the last snapshot, or entries of snapshotBytes. A
// state that is larger than these bytes is written only once the entries are as large, so that the disk writes no more than
// twice what is proposed.
func (l *Log) snapshotDue() bool {
	return l.machine.CommitIndex() >= l.machine.SnapshotIndex()+snapshotEntries ||
		l.machine.CommittedBytes() >= max(snapshotBytes, l.machine.SnapshotSize())
}

// fail stops the member and the process after a failed write or an unreadable state, so that it acknowledges nothing that may not be durable.
func (l *Log) fail(err error) {
	l.failed = true
	l.log.WithError(err).Error("the replicated log failed: the process stops; restart it with a working data folder to rejoin")
	l.cancelTick()
	l.abandonProposals()
	l.failProcess(err)
}

// publish makes the status after this event visible to other threads.
func (l *Log) publish(now time.Time) {
	s := &status{
		leader:        l.machine.Leader(),
		quorumContact: l.machine.LastQuorumContact(now),
		commit:        l.machine.CommitIndex(),
		leading:       l.machine.Leading() && !l.failed,
		entryBytes:    l.machine.HeldBytes(),
	}
	if !l.needsJoin() {
		s.voters = len(l.machine.Members().Voters())
	}
	for _, m := range l.machine.Members().List() {
		if m.Address() != l.config.Address {
			s.peers = append(s.peers, m.Address())
		}
	}
	l.wasVoter = l.wasVoter || l.machine.Members().IsVoter(l.disk.Member())
	previous := l.published.Swap(s)
	if previous.leader != s.leader {
		l.log.WithFields(map[string]any{"leader": string(s.leader), "term": l.machine.Term()}).Info("the leader changed")
	}
	if l.handingOver && previous.leading && !s.leading {
		l.endHandOver()
	}
}

// scheduleTick replaces the pending tick by one at the member's next deadline.
func (l *Log) scheduleTick(now time.Time) {
	l.cancelTick()
	if l.failed {
		return
	}
	l.cancelTick = l.control.PostAfter(max(l.machine.NextTick().Sub(now), 0), tick{})
}

// newVerdict returns the verdict on a request that ended with err, nil for accepted.
func (l *Log) newVerdict(err error) verdict {
	if err == nil {
		return verdict{accepted: true}
	}
	return verdict{
		leader:  l.machine.Leader(),
		address: l.machine.LeaderAddress(),
		detail:  err.Error(),
	}
}
