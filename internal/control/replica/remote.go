package replica

import (
	"context"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/policy/raft"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// registerHandlers registers the handlers of messages from other control instances.
func (l *Log) registerHandlers() {
	l.messenger.Handle(figpier.MethodReplica, l.receiveMessage)
	l.messenger.Handle(figpier.MethodPropose, l.receiveProposal)
	l.messenger.Handle(figpier.MethodProbe, l.receiveProbe)
	l.messenger.Handle(figpier.MethodJoin, l.receiveJoin)
	l.messenger.Handle(figpier.MethodRemove, l.receiveRemoval)
}

func (l *Log) receiveMessage(_ context.Context, decode figpier.Decode) (any, error) {
	var w message.ReplicaMessage
	if err := decode(&w); err != nil {
		return nil, err
	}
	m, err := codec.ToReplicaMessage(w)
	if err != nil {
		return nil, err
	}
	l.sender.setCompression(w.ReplyTo, w.Compression != nil && *w.Compression)
	return message.ReplicaReceived{}, l.control.Post(messageReceived{message: m})
}

func (l *Log) receiveProposal(ctx context.Context, decode figpier.Decode) (any, error) {
	var w message.ReplicaProposal
	if err := decode(&w); err != nil {
		return nil, err
	}
	command, err := codec.ToCommand(w.Command)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return l.runRequest(ctx, func(m *raft.Machine, now time.Time) error {
		return m.Propose(now, w.Proposal, command)
	})
}

func (l *Log) receiveJoin(ctx context.Context, decode figpier.Decode) (any, error) {
	var w message.ReplicaMember
	if err := decode(&w); err != nil {
		return nil, err
	}
	return l.runRequest(ctx, func(m *raft.Machine, now time.Time) error {
		return m.Join(now, codec.ToReplicaMember(w))
	})
}

func (l *Log) receiveRemoval(ctx context.Context, decode figpier.Decode) (any, error) {
	var w message.ReplicaRemoval
	if err := decode(&w); err != nil {
		return nil, err
	}
	return l.runRequest(ctx, func(m *raft.Machine, now time.Time) error {
		return m.Remove(now, figpier.InstanceID(w.Instance))
	})
}

// runRequest runs a function on the control thread and returns this member's verdict.
func (l *Log) runRequest(ctx context.Context, run func(m *raft.Machine, now time.Time) error) (any, error) {
	r := memberRequest{run: run, verdict: make(chan verdict, 1)}
	if err := l.control.Post(r); err != nil {
		return nil, err
	}
	select {
	case v := <-r.verdict:
		return &message.ReplicaVerdict{
			Taken:   v.accepted,
			Leader:  string(v.leader),
			Address: v.address,
			Detail:  v.detail,
		}, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

func (l *Log) receiveProbe(ctx context.Context, _ figpier.Decode) (any, error) {
	q := statusRequest{answer: make(chan peerStatus, 1)}
	if err := l.control.Post(q); err != nil {
		return nil, err
	}
	select {
	case p := <-q.answer:
		s := &message.ReplicaStatus{
			Member:        codec.FromReplicaMember(p.member),
			Cluster:       p.cluster,
			LeaderAddress: p.leaderAddress,
			Founder:       p.founder,
		}
		if p.foundingSeeds > 0 {
			s.FoundingSeeds = &p.foundingSeeds
		}
		return s, nil
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

// forward sends a proposal to the leader and posts the outcome.
func (l *Log) forward(address, id string, command []byte) {
	ctx, cancel := context.WithTimeout(l.runContext, transferTimeout(len(command)))
	defer cancel()
	f := forwardFinished{id: id}
	w := message.ReplicaProposal{
		Proposal: id,
		Command:  codec.FromCommand(command, l.sender.readsCompression(address)),
	}
	f.err = l.messenger.Request(ctx, address, figpier.MethodPropose, w, &f.verdict)
	_ = l.control.Post(f)
}

// probe asks another control instance for its status.
func (l *Log) probe(address string) (peerStatus, error) {
	ctx, cancel := context.WithTimeout(l.runContext, requestTimeout)
	defer cancel()
	var s message.ReplicaStatus
	if err := l.messenger.Request(ctx, address, figpier.MethodProbe, message.ReplicaProbe{}, &s); err != nil {
		return peerStatus{}, err
	}
	p := peerStatus{
		member:        codec.ToReplicaMember(s.Member),
		cluster:       s.Cluster,
		leaderAddress: s.LeaderAddress,
		founder:       s.Founder,
	}
	if s.FoundingSeeds != nil {
		p.foundingSeeds = *s.FoundingSeeds
	}
	return p, nil
}

// join asks the leader to add this member. It does not retry: discovery calls it again until the member has joined.
func (l *Log) join(address string, m raft.Member) {
	ctx, cancel := context.WithTimeout(l.runContext, requestTimeout)
	defer cancel()
	var v message.ReplicaVerdict
	err := l.messenger.Request(ctx, address, figpier.MethodJoin, codec.FromReplicaMember(m), &v)
	if err == nil && !v.Taken {
		l.log.WithField("detail", v.Detail).Warn("the leader refused to add this instance to the replicated log")
	}
}
