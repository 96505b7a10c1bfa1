package shard

// MessageConfig describes a message from a primary to a follower, with one write or the whole state.
type MessageConfig struct {
	// Shard identifies the shard.
	Shard ID
	// Epoch is the epoch in which the primary sent the message.
	Epoch Epoch
	// Stream is the epoch in which the primary took over, see Assignment.Stream.
	Stream Epoch
	// Origin is the epoch in which the state started empty, see Assignment.Origin.
	Origin Epoch
	// Sequence is the number of the write, or of the last write that the whole state includes.
	Sequence uint64
	// Whole says that the message carries the whole state, which the caller adds.
	Whole bool
	// Payload is the encoded write, nil if Whole is set.
	Payload []byte
}

// AnswerConfig describes a follower's answer, which reports its position after the message.
type AnswerConfig struct {
	// Epoch is the highest epoch that the follower has seen.
	Epoch Epoch
	// Stream is the stream that the follower's state belongs to.
	Stream Epoch
	// Sequence is the number of the last write in the stream that the follower has.
	Sequence uint64
}

// NextMessage returns the next message for a follower: the whole state first, then the writes in order. It returns false if the
// follower has all writes or this member is not the primary.
func (r *Replica) NextMessage(m MemberID) (MessageConfig, bool) {
	f := r.followers[m]
	if f == nil || !r.isPrimary() {
		return MessageConfig{}, false
	}
	c := MessageConfig{
		Shard:    r.assignment.Shard(),
		Epoch:    r.epoch,
		Stream:   r.stream,
		Origin:   r.origin,
		Sequence: r.sequence,
		Whole:    !f.hasState,
	}
	if c.Whole {
		return c, true
	}
	for _, w := range r.pendingWrites {
		if w.sequence == f.ackedSequence+1 {
			c.Sequence = w.sequence
			c.Payload = w.payload
			return c, true
		}
	}
	return MessageConfig{}, false
}

// HandleAnswer records a follower's answer to a message that was sent in the given epoch. An answer with a higher epoch means
// that another primary may exist, so this member steps down.
func (r *Replica) HandleAnswer(m MemberID, sent Epoch, a AnswerConfig) {
	if a.Epoch > r.epoch {
		r.epoch = a.Epoch
		r.stepDown()
		return
	}
	f := r.followers[m]
	if f == nil || sent != r.epoch || a.Epoch != r.epoch {
		return
	}
	if a.Stream != r.stream {
		f.hasState = false
		return
	}
	f.hasState = true
	f.ackedSequence = max(f.ackedSequence, a.Sequence)
	f.synced = f.synced || f.ackedSequence >= r.doneSequence
	r.advanceDone()
}

// Receive handles a primary's message and returns the answer to send. If apply is true, the caller must first apply the
// write, or replace its whole state. Messages of an older epoch, and writes out of order, are not applied.
func (r *Replica) Receive(c MessageConfig) (answer AnswerConfig, apply bool) {
	if c.Epoch < r.epoch || c.Epoch == r.epoch && r.isPrimary() {
		return r.currentAnswer(), false
	}
	if c.Epoch > r.epoch {
		r.epoch = c.Epoch
		r.stepDown()
	}
	if c.Whole {
		apply = r.stream != c.Stream || r.sequence < c.Sequence
	} else {
		apply = r.stream == c.Stream && r.sequence+1 == c.Sequence
	}
	if apply {
		r.stream = c.Stream
		r.origin = c.Origin
		r.sequence = c.Sequence
	}
	return r.currentAnswer(), apply
}

// currentAnswer returns the answer that reports the present position of this member.
func (r *Replica) currentAnswer() AnswerConfig {
	return AnswerConfig{Epoch: r.epoch, Stream: r.stream, Sequence: r.sequence}
}
