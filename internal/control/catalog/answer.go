package catalog

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zeebo/xxh3"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/codec"
	"github.com/figpier/figpier/internal/wire/message"
)

// Outcomes of an edit as stored in a snapshot.
const (
	outcomeAccepted = "accepted"
	outcomeConflict = "conflict"
	outcomeInvalid  = "invalid"
)

// recordedAnswer is the stored answer to one edit, a receipt or an error, for resends of the edit.
type recordedAnswer struct {
	operation figpier.OperationID
	// fingerprint identifies the edit; it is the Subject of the stored form.
	fingerprint string
	receipt     *figpier.Receipt
	err         error
}

// fingerprintOf returns a text that is the same for an edit and its resends. It leaves out what a resend may change: the
// base revision, and the key ID and secret of a new key.
func fingerprintOf(e *figpier.Edit) string {
	switch e.Kind() {
	case figpier.EditApplyProfile:
		return fmt.Sprintf("%s %016x", e.Kind(), profileDigest(e.Profile().WithRevision(0)))
	case figpier.EditReplaceTable:
		return tableFingerprint(e.Table().Number(), codec.FormatDocumentDigest(e.Table().Document()))
	case figpier.EditGiveKey:
		return fmt.Sprintf("%s %q", e.Kind(), e.Key().Customer())
	}
	return fmt.Sprintf("%s %q %q %q", e.Kind(), e.ProfileName(), e.Service(), e.KeyID())
}

// tableFingerprint returns the fingerprint of an edit that replaces the routing table by one with the number and document digest.
func tableFingerprint(number uint64, documentDigest string) string {
	return fmt.Sprintf("%s %d %s", figpier.EditReplaceTable, number, documentDigest)
}

// profileDigest returns a hash of a profile's encoding, 0 if it cannot be encoded.
func profileDigest(p *figpier.Profile) uint64 {
	text, err := json.Marshal(codec.FromProfile(p))
	if err != nil {
		return 0
	}
	return xxh3.Hash(text)
}

// replay answers a resend, or returns an InvalidEditError for a different edit under the same operation ID.
func (a *recordedAnswer) replay(fingerprint string) (*figpier.Receipt, error) {
	if a.fingerprint != fingerprint {
		return nil, figpier.NewInvalidEditError(fmt.Sprintf("operation id %q was used for another edit: take a new one", a.operation))
	}
	return a.receipt, a.err
}

func encodeAnswer(a *recordedAnswer) message.EditAnswer {
	m := message.EditAnswer{Operation: string(a.operation), Subject: a.fingerprint}
	conflict := (*figpier.ConflictError)(nil)
	switch {
	case a.receipt != nil:
		m.Outcome = outcomeAccepted
		m.Revision = int(a.receipt.Revision())
		m.KeyId = a.receipt.KeyID()
	case errors.As(a.err, &conflict):
		m.Outcome = outcomeConflict
		m.Revision = int(conflict.Current())
	default:
		m.Outcome = outcomeInvalid
		m.Detail = a.err.Error()
	}
	return m
}

func decodeAnswer(m message.EditAnswer) (*recordedAnswer, error) {
	a := &recordedAnswer{operation: figpier.OperationID(m.Operation), fingerprint: m.Subject}
	switch m.Outcome {
	case outcomeAccepted:
		a.receipt = figpier.NewReceipt(figpier.ReceiptConfig{
			Operation: a.operation,
			Revision:  figpier.Revision(m.Revision),
			KeyID:     m.KeyId,
		})
	case outcomeConflict:
		a.err = figpier.NewConflictError(figpier.Revision(m.Revision))
	case outcomeInvalid:
		a.err = figpier.NewInvalidEditError(m.Detail)
	default:
		return nil, Error.New("operation %q has the unknown outcome %q", m.Operation, m.Outcome)
	}
	return a, nil
}
