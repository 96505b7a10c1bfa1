package replica

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// proposal is a command that waits to be committed and applied.
type proposal struct {
	baseEvent
	id      string
	command []byte
	answer  chan result
	// sentInTerm is the term in which the command was sent to a leader, 0 before that.
	sentInTerm uint64
}

// result is the state machine's answer to a proposal, or the reason why there is none.
type result struct {
	answer any
	err    error
}

// finish answers the proposer; later calls do nothing.
func (p *proposal) finish(answer any, err error) {
	select {
	case p.answer <- result{answer: answer, err: err}:
	default:
	}
}

// proposalExpired reports that a proposal's wait for a leader is over. With abandoned set, the proposer has stopped waiting, and the proposal ends even if it was sent.
type proposalExpired struct {
	baseEvent
	id        string
	abandoned bool
}

// forwardFinished carries the leader's verdict on a forwarded proposal, or the error of the request.
type forwardFinished struct {
	baseEvent
	id      string
	verdict message.ReplicaVerdict
	err     error
}

// Propose implements figpier.ReplicatedLog; an instance that does not lead forwards the command to the leader.
func (l *Log) Propose(ctx context.Context, command []byte) (answer any, err error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	p := &proposal{
		id:      uuid.NewString(),
		command: command,
		answer:  make(chan result, 1),
	}
	if err := l.control.Post(p); err != nil {
		return nil, err
	}
	select {
	case r := <-p.answer:
		return r.answer, r.err
	case <-ctx.Done():
		_ = l.control.Post(proposalExpired{id: p.id, abandoned: true})
		return nil, figpier.NewOutcomeUnknownError("")
	case <-l.runContext.Done():
		return nil, figpier.NewOutcomeUnknownError("")
	}
}

func (l *Log) onProposal(p *proposal) {
	l.proposals[p.id] = p
	l.control.PostAfter(leaderWaitTimeout, proposalExpired{id: p.id})
}

// onProposalExpired gives up a proposal that could not be sent to a leader in time, or whose proposer has stopped waiting.
func (l *Log) onProposalExpired(e proposalExpired) {
	p, ok := l.proposals[e.id]
	if !ok || p.sentInTerm != 0 && !e.abandoned {
		return
	}
	l.finishProposal(e.id, nil, figpier.NewNotLeaderError(l.machine.Leader()))
}

// updateProposals gives up sent proposals when the term has changed or the leader is unknown, and sends those that wait for a leader.
func (l *Log) updateProposals(now time.Time) {
	termChanged := l.machine.Term() != l.term
	l.term = l.machine.Term()
	for id, p := range l.proposals {
		if p.sentInTerm != 0 && (termChanged || l.machine.Leader() == "") {
			l.finishProposal(id, nil, figpier.NewOutcomeUnknownError(""))
		}
	}
	for _, p := range l.proposals {
		if p.sentInTerm == 0 {
			l.sendToLeader(now, p)
		}
	}
}

// sendToLeader appends a proposal if this member leads, and otherwise forwards it to the leader, if one is known.
func (l *Log) sendToLeader(now time.Time, p *proposal) {
	if l.machine.Leading() {
		p.sentInTerm = l.machine.Term()
		if err := l.machine.Propose(now, p.id, p.command); err != nil {
			l.finishProposal(p.id, nil, err)
			return
		}
		l.processEffects(now)
		return
	}
	if address := l.machine.LeaderAddress(); address != "" {
		p.sentInTerm = l.machine.Term()
		go l.forward(address, p.id, p.command)
	}
}

// finishProposal removes a proposal and answers its proposer; it ignores an ID that is not pending here.
func (l *Log) finishProposal(id string, answer any, err error) {
	p, ok := l.proposals[id]
	if !ok {
		return
	}
	delete(l.proposals, id)
	p.finish(answer, err)
}

// abandonProposals gives up all proposals with an unknown outcome.
func (l *Log) abandonProposals() {
	for id := range l.proposals {
		l.finishProposal(id, nil, figpier.NewOutcomeUnknownError(""))
	}
}

// onForwardFinished leaves an accepted proposal waiting to be applied here. A refused one ends with a NotLeaderError, and a failed request with an unknown outcome.
func (l *Log) onForwardFinished(f forwardFinished) {
	p, ok := l.proposals[f.id]
	switch {
	case !ok || f.err == nil && f.verdict.Taken:
	case f.err != nil:
		l.finishProposal(f.id, nil, figpier.NewOutcomeUnknownError(""))
	default:
		l.finishProposal(p.id, nil, figpier.NewNotLeaderError(figpier.InstanceID(f.verdict.Leader)))
	}
}
