package raft

import "time"

// maxMessageTimes limits the number of messages whose times are kept. The oldest are dropped.
const maxMessageTimes = 256

// messageTime is the time at which a message with a sequence number was sent or answered.
type messageTime struct {
	sequence uint64
	at       time.Time
}

// messageTimes are the times of messages in ascending order of their sequence numbers.
type messageTimes []messageTime

func (s messageTimes) add(sequence uint64, at time.Time) messageTimes {
	s = append(s, messageTime{sequence: sequence, at: at})
	if len(s) > maxMessageTimes {
		s = s[len(s)-maxMessageTimes:]
	}
	return s
}

// takeThrough returns the time of a message and the times of later messages. If the message is unknown, it returns all
// times and false.
func (s messageTimes) takeThrough(sequence uint64) (messageTimes, time.Time, bool) {
	for i, e := range s {
		if e.sequence == sequence {
			return s[i+1:], e.at, true
		}
		if e.sequence > sequence {
			break
		}
	}
	return s, time.Time{}, false
}

// progress is what a leader knows about another member in its term.
type progress struct {
	// nextIndex is the index of the next entry to send.
	nextIndex uint64
	// matchIndex is the index of the last entry that the member is known to hold durably.
	matchIndex uint64
	// awaitingAnswer says that the last message sent has not been answered.
	awaitingAnswer bool
	// lastSequence is the sequence number of the last message sent.
	lastSequence uint64
	// lastAnswered is the sequence number of the last message known to be answered.
	lastAnswered uint64
	// sentCommit is the commit index in the last message sent.
	sentCommit uint64
	// sendTimes are the times at which the unanswered messages were sent.
	sendTimes messageTimes
	// lastContact is when the latest message that the member has answered was sent, at first addedAt.
	lastContact time.Time
	// addedAt is when the leader began to track the member.
	addedAt time.Time
	// snapshot is the snapshot being transferred, nil for none.
	snapshot *Snapshot
	// snapshotOffset is the number of bytes of snapshot that the member has received.
	snapshotOffset uint64
}

// recordAnswer records that the member has answered the message with the given sequence number.
func (p *progress) recordAnswer(sequence uint64) {
	rest, at, ok := p.sendTimes.takeThrough(sequence)
	p.sendTimes = rest
	if !ok {
		return
	}
	p.lastAnswered = sequence
	if at.After(p.lastContact) {
		p.lastContact = at
	}
}

// lastSeen returns lastContact, or addedAt if that is later.
func (p *progress) lastSeen() time.Time {
	if p.lastContact.After(p.addedAt) {
		return p.lastContact
	}
	return p.addedAt
}
