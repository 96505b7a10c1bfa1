package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// Error is the error class of edits and snapshots that cannot be encoded or decoded.
var Error = errs.Class("catalog")

// Catalog implements figpier.Catalog and figpier.StateMachine on a replicated log.
type Catalog struct {
	log figpier.ReplicatedLog
	// state is used only by the thread that applies the log.
	state *state
	// published is the newest configuration for other threads.
	published atomic.Pointer[figpier.Configuration]

	mu          sync.Mutex
	subscribers []func(*figpier.Configuration)
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{state: newState()}
	c.published.Store(c.state.configuration)
	return c
}

// Name implements figpier.Service.
func (c *Catalog) Name() figpier.ServiceName { return figpier.CatalogService }

// Start implements figpier.Service.
func (c *Catalog) Start(_ context.Context, d figpier.Directory) error {
	l, err := figpier.FindReplicatedLog(d)
	if err != nil {
		return err
	}
	c.log = l
	return nil
}

// Stop implements figpier.Service.
func (c *Catalog) Stop(context.Context) error { return nil }

// Configuration implements figpier.Catalog.
func (c *Catalog) Configuration() *figpier.Configuration { return c.published.Load() }

// Subscribe implements figpier.Catalog.
func (c *Catalog) Subscribe(f func(*figpier.Configuration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// editResult is the state machine's answer to one edit.
type editResult struct {
	receipt *figpier.Receipt
	err     error
}

// Submit implements figpier.Catalog; on success the edit is applied on this instance when it returns.
func (c *Catalog) Submit(ctx context.Context, e *figpier.Edit) (*figpier.Receipt, error) {
	if err := validate(e); err != nil {
		return nil, err
	}
	command, err := json.Marshal(codec.FromEdit(e, c.Configuration().Table()))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	answer, err := c.log.Propose(ctx, command)
	if unknown := (*figpier.OutcomeUnknownError)(nil); errors.As(err, &unknown) {
		return nil, figpier.NewOutcomeUnknownError(e.Operation())
	}
	if err != nil {
		return nil, err
	}
	v, ok := answer.(editResult)
	if !ok {
		return nil, figpier.NewOutcomeUnknownError(e.Operation())
	}
	return v.receipt, v.err
}

func validate(e *figpier.Edit) error {
	switch {
	case e.Operation() == "":
		return figpier.NewInvalidEditError("the edit has no operation id")
	case e.Kind() == figpier.EditApplyProfile && e.Profile() == nil:
		return figpier.NewInvalidEditError("the edit has no profile")
	case e.Kind() == figpier.EditGiveKey && e.Key() == nil:
		return figpier.NewInvalidEditError("the edit has no key")
	case e.Kind() == figpier.EditReplaceTable && e.Table() == nil:
		return figpier.NewInvalidEditError("the edit has no routing table")
	}
	return nil
}

// Apply implements figpier.StateMachine.
func (c *Catalog) Apply(index uint64, command []byte) (answer any) {
	var m message.Edit
	if err := json.Unmarshal(command, &m); err != nil {
		return editResult{err: figpier.NewInvalidEditError(fmt.Sprintf("record %d: %v", index, err))}
	}
	if m.TableDelta != nil && !c.state.hasTable(m.TableDelta.Base) {
		return c.state.refuseBase(figpier.OperationID(m.Operation), *m.TableDelta)
	}
	e, err := codec.ToEdit(m, c.state.configuration.Table())
	if err == nil {
		err = validate(e)
	}
	if err != nil {
		return editResult{err: figpier.NewInvalidEditError(fmt.Sprintf("record %d: %v", index, err))}
	}
	r, err := c.state.apply(e)
	if err == nil {
		c.publish()
	}
	return editResult{receipt: r, err: err}
}

// Snapshot implements figpier.StateMachine.
func (c *Catalog) Snapshot() ([]byte, error) {
	m := message.CatalogState{
		Configuration: codec.FromConfigurationWithDocument(c.state.configuration),
		Answers:       []message.EditAnswer{},
	}
	for _, o := range c.state.order {
		m.Answers = append(m.Answers, encodeAnswer(c.state.answers[o]))
	}
	data, err := json.Marshal(m)
	return data, Error.Wrap(err)
}

// Restore implements figpier.StateMachine.
func (c *Catalog) Restore(snapshot []byte) error {
	var m message.CatalogState
	if err := json.Unmarshal(snapshot, &m); err != nil {
		return Error.Wrap(err)
	}
	configuration, err := codec.ToConfiguration(m.Configuration)
	if err != nil {
		return err
	}
	s := newState()
	s.configuration = configuration
	for _, w := range m.Answers {
		a, err := decodeAnswer(w)
		if err != nil {
			return err
		}
		s.recordAnswer(a)
	}
	c.state = s
	c.publish()
	return nil
}

func (c *Catalog) publish() {
	c.published.Store(c.state.configuration)
	c.mu.Lock()
	subscribers := c.subscribers
	c.mu.Unlock()
	for _, f := range subscribers {
		f(c.state.configuration)
	}
}
