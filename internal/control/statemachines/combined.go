package statemachines

import (
	"bytes"
	"encoding/json"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// Error is the error class of combined snapshots that cannot be encoded or decoded.
var Error = errs.Class("state machines")

// shardPrefix is how each shard command begins, and no other command.
const shardPrefix = `{"begin":`

// Config builds a Combined.
type Config struct {
	// Catalog applies the operators' edits and all other commands that are not for shards.
	Catalog figpier.StateMachine
	// Shards applies the commands that begin with shardPrefix.
	Shards figpier.StateMachine
}

// Combined implements figpier.StateMachine by passing each command to the state machine that it is for.
type Combined struct {
	config Config
}

// New returns a state machine that combines those of the configuration.
func New(c Config) *Combined { return &Combined{config: c} }

// Apply implements figpier.StateMachine.
func (c *Combined) Apply(index uint64, command []byte) (answer any) {
	if bytes.HasPrefix(command, []byte(shardPrefix)) {
		return c.config.Shards.Apply(index, command)
	}
	return c.config.Catalog.Apply(index, command)
}

// Snapshot implements figpier.StateMachine.
func (c *Combined) Snapshot() ([]byte, error) {
	catalog, err := c.config.Catalog.Snapshot()
	if err != nil {
		return nil, err
	}
	shards, err := c.config.Shards.Snapshot()
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(message.MachineSnapshot{Catalog: string(catalog), Shards: string(shards)})
	return data, Error.Wrap(err)
}

// Restore implements figpier.StateMachine.
func (c *Combined) Restore(snapshot []byte) error {
	var s message.MachineSnapshot
	if err := json.Unmarshal(snapshot, &s); err != nil {
		return Error.Wrap(err)
	}
	if err := c.config.Catalog.Restore([]byte(s.Catalog)); err != nil {
		return err
	}
	return c.config.Shards.Restore([]byte(s.Shards))
}
