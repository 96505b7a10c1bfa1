package shards

import (
	"encoding/json"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// Error is the class of errors of this package.
var Error = errs.Class("shards")

// Apply implements figpier.StateMachine. A command begins a term or installs assignments; those decided in an earlier term
// are ignored. The result is nil, or an error for a command that can't be decoded.
func (s *Service) Apply(_ uint64, command []byte) (result any) {
	var c message.ShardCommand
	if err := json.Unmarshal(command, &c); err != nil {
		return Error.Wrap(err)
	}
	if c.Begin {
		s.shards.BeginTerm(c.Term)
	}
	for _, a := range c.Shards {
		s.shards.Apply(c.Term, codec.ToShardAssignment(a))
	}
	return nil
}

// Snapshot implements figpier.StateMachine. A snapshot is a command that begins the term and installs all assignments.
func (s *Service) Snapshot() ([]byte, error) {
	data, err := json.Marshal(message.ShardCommand{
		Begin:  true,
		Term:   s.shards.Term(),
		Shards: codec.FromShardAssignments(s.shards.All()),
	})
	return data, Error.Wrap(err)
}

// Restore implements figpier.StateMachine.
func (s *Service) Restore(snapshot []byte) error {
	var c message.ShardCommand
	if err := json.Unmarshal(snapshot, &c); err != nil {
		return Error.Wrap(err)
	}
	s.shards.BeginTerm(c.Term)
	for _, a := range c.Shards {
		s.shards.Restore(codec.ToShardAssignment(a))
	}
	return nil
}
