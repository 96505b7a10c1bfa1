package catalog

import (
	"fmt"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// maxAnswers is the number of recent operations whose answers are stored for resends.
const maxAnswers = 4096

// state is the accepted configuration with the answers to recent operations.
type state struct {
	configuration *figpier.Configuration
	answers       map[figpier.OperationID]*recordedAnswer
	// order holds the keys of answers, oldest first.
	order []figpier.OperationID
}

func newState() *state {
	return &state{
		configuration: figpier.NewConfiguration(figpier.NewConfiguration(figpier.ConfigurationConfig{}).Clone()),
		answers:       map[figpier.OperationID]*recordedAnswer{},
	}
}

// apply applies an edit and records the answer. A refused edit changes nothing, and a resend gets the first answer.
func (s *state) apply(e *figpier.Edit) (*figpier.Receipt, error) {
	fingerprint := fingerprintOf(e)
	if a, ok := s.answers[e.Operation()]; ok {
		return a.replay(fingerprint)
	}
	next := s.configuration.Clone()
	keyID, err := applyEdit(&next, e)
	if err != nil {
		s.recordAnswer(&recordedAnswer{operation: e.Operation(), fingerprint: fingerprint, err: err})
		return nil, err
	}
	s.configuration = figpier.NewConfiguration(next)
	r := figpier.NewReceipt(figpier.ReceiptConfig{
		Operation: e.Operation(),
		Revision:  next.Revision,
		KeyID:     keyID,
	})
	s.recordAnswer(&recordedAnswer{operation: e.Operation(), fingerprint: fingerprint, receipt: r})
	return r, nil
}

// hasTable reports whether the routing table has the number.
func (s *state) hasTable(number int) bool {
	t := s.configuration.Table()
	return t != nil && t.Number() == uint64(number)
}

// refuseBase answers an edit whose routing table is a difference from another table than the current one: a resend with the
// first answer, and any other edit with a conflict.
func (s *state) refuseBase(o figpier.OperationID, d message.TableDelta) editResult {
	fingerprint := tableFingerprint(uint64(d.Head.Number), valueOrEmpty(d.DocumentDigest))
	if a, ok := s.answers[o]; ok {
		r, err := a.replay(fingerprint)
		return editResult{receipt: r, err: err}
	}
	var current figpier.Revision
	if t := s.configuration.Table(); t != nil {
		current = figpier.Revision(t.Number())
	}
	err := figpier.NewConflictError(current)
	s.recordAnswer(&recordedAnswer{operation: o, fingerprint: fingerprint, err: err})
	return editResult{err: err}
}

func valueOrEmpty(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

func (s *state) recordAnswer(a *recordedAnswer) {
	s.answers[a.operation] = a
	s.order = append(s.order, a.operation)
	if len(s.order) > maxAnswers {
		delete(s.answers, s.order[0])
		s.order = s.order[1:]
	}
}

// applyEdit changes next as an edit asks, and returns the key ID of the key that the edit concerns, if any. On an error the
// caller must discard next.
func applyEdit(next *figpier.ConfigurationConfig, e *figpier.Edit) (keyID string, err error) {
	switch e.Kind() {
	case figpier.EditApplyProfile:
		return "", applyProfile(next, e)
	case figpier.EditDeleteProfile:
		return "", deleteProfile(next, e)
	case figpier.EditAssign:
		return "", assignProfile(next, e)
	case figpier.EditGiveKey:
		return e.Key().ID(), giveKey(next, e)
	case figpier.EditWithdrawKey:
		return e.KeyID(), withdrawKey(next, e)
	case figpier.EditReplaceTable:
		return "", replaceTable(next, e)
	}
	return "", figpier.NewInvalidEditError(fmt.Sprintf("unknown kind of edit %q", string(e.Kind())))
}

func applyProfile(next *figpier.ConfigurationConfig, e *figpier.Edit) error {
	p := e.Profile()
	var current figpier.Revision
	if old, ok := next.Profiles[p.Name()]; ok {
		current = old.Revision()
	}
	if current != e.Base() {
		return figpier.NewConflictError(current)
	}
	next.Profiles[p.Name()] = p.WithRevision(next.Revision)
	return nil
}

func deleteProfile(next *figpier.ConfigurationConfig, e *figpier.Edit) error {
	old, ok := next.Profiles[e.ProfileName()]
	if !ok {
		return figpier.NewConflictError(0)
	}
	if old.Revision() != e.Base() {
		return figpier.NewConflictError(old.Revision())
	}
	for _, a := range next.Assignments {
		if a.Profile() == e.ProfileName() {
			detail := fmt.Sprintf("profile %q is assigned to service %q: assign another first", a.Profile(), a.Service())
			return figpier.NewInvalidEditError(detail)
		}
	}
	delete(next.Profiles, e.ProfileName())
	return nil
}

func assignProfile(next *figpier.ConfigurationConfig, e *figpier.Edit) error {
	var current figpier.Revision
	if old, ok := next.Assignments[e.Service()]; ok {
		current = old.Revision()
	}
	if current != e.Base() {
		return figpier.NewConflictError(current)
	}
	if _, ok := next.Profiles[e.ProfileName()]; !ok {
		return figpier.NewInvalidEditError(fmt.Sprintf("profile %q does not exist: apply it first", e.ProfileName()))
	}
	next.Assignments[e.Service()] = figpier.NewAssignment(figpier.AssignmentConfig{
		Service:  e.Service(),
		Profile:  e.ProfileName(),
		Revision: next.Revision,
	})
	return nil
}

// replaceTable replaces the routing table if the edit's base is the number of the current one.
func replaceTable(next *figpier.ConfigurationConfig, e *figpier.Edit) error {
	var current uint64
	if next.Table != nil {
		current = next.Table.Number()
	}
	if figpier.Revision(current) != e.Base() {
		return figpier.NewConflictError(figpier.Revision(current))
	}
	if e.Table().Number() <= current {
		return figpier.NewInvalidEditError(fmt.Sprintf("routing table %d is not above the one in force, %d", e.Table().Number(), current))
	}
	c := e.Table().Config()
	c.Revision = next.Revision
	next.Table = figpier.NewTable(c)
	return nil
}

func giveKey(next *figpier.ConfigurationConfig, e *figpier.Edit) error {
	for _, k := range next.Keys {
		if k.ID() == e.Key().ID() || k.Digest() == e.Key().Digest() {
			return figpier.NewConflictError(k.Revision())
		}
	}
	next.Keys[e.Key().Digest()] = figpier.NewKey(figpier.KeyConfig{
		ID:       e.Key().ID(),
		Customer: e.Key().Customer(),
		Digest:   e.Key().Digest(),
		Revision: next.Revision,
	})
	return nil
}

func withdrawKey(next *figpier.ConfigurationConfig, e *figpier.Edit) error {
	for d, k := range next.Keys {
		if k.ID() == e.KeyID() {
			delete(next.Keys, d)
			return nil
		}
	}
	return figpier.NewInvalidEditError(fmt.Sprintf("key %q does not exist", e.KeyID()))
}
