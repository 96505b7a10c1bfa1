package operator

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/host/profile"
)

const (
	// submitTimeout bounds the wait for an edit to be accepted; after it the outcome is reported as unknown.
	submitTimeout   = 10 * time.Second
	keyIDSize       = 8  // bytes
	secretSize      = 32 // bytes
	secretPrefix    = "fpk_"
	operationIDSize = 16 // bytes
)

// editor validates operators' requests and submits them to the catalog as edits.
type editor struct {
	catalog figpier.Catalog
}

// editParams holds the parameters that every edit has.
type editParams struct {
	// operation is the operation ID of the edit, so that a resend is not carried out twice.
	operation figpier.OperationID
	// base is the revision of the object that the operator saw, 0 to create it; edits of keys don't use it.
	base figpier.Revision
}

// issuedKey is the result of giving a customer a key. The secret is stored nowhere, so it is empty for a resend of the
// operation that created the key.
type issuedKey struct {
	receipt *figpier.Receipt
	secret  string
}

// applyProfile creates or replaces a profile. It returns a *jsonc.ProblemsError for a document that is not valid.
func (e *editor) applyProfile(ctx context.Context, params editParams, name figpier.ProfileName, document string) (*figpier.Receipt, error) {
	p, err := profile.Parse(string(name), []byte(document))
	if err != nil {
		return nil, err
	}
	if p.Name() != name {
		return nil, newInvalidFieldError("name", "the profile's name differs from the name in the address")
	}
	return e.submit(ctx, figpier.EditConfig{
		Operation:   params.operation,
		Base:        params.base,
		Kind:        figpier.EditApplyProfile,
		Profile:     p,
		ProfileName: name,
	})
}

func (e *editor) deleteProfile(ctx context.Context, params editParams, name figpier.ProfileName) (*figpier.Receipt, error) {
	return e.submit(ctx, figpier.EditConfig{
		Operation:   params.operation,
		Base:        params.base,
		Kind:        figpier.EditDeleteProfile,
		ProfileName: name,
	})
}

func (e *editor) assign(ctx context.Context, params editParams, s figpier.UpstreamService, name figpier.ProfileName) (*figpier.Receipt, error) {
	if detail, ok := profile.CheckName(string(s)); !ok {
		return nil, newInvalidFieldError("service", detail)
	}
	if detail, ok := profile.CheckName(string(name)); !ok {
		return nil, newInvalidFieldError("profile", detail)
	}
	return e.submit(ctx, figpier.EditConfig{
		Operation:   params.operation,
		Base:        params.base,
		Kind:        figpier.EditAssign,
		ProfileName: name,
		Service:     s,
	})
}

// giveKey creates a key and returns its secret; the catalog gets only the secret's digest.
func (e *editor) giveKey(ctx context.Context, params editParams, c figpier.CustomerID) (issuedKey, error) {
	if detail, ok := profile.CheckName(string(c)); !ok {
		return issuedKey{}, newInvalidFieldError("customer", detail)
	}
	secret := secretPrefix + base64.RawURLEncoding.EncodeToString(randomBytes(secretSize))
	k := figpier.NewKey(figpier.KeyConfig{
		ID:       hex.EncodeToString(randomBytes(keyIDSize)),
		Customer: c,
		Digest:   sha256.Sum256([]byte(secret)),
	})
	r, err := e.submit(ctx, figpier.EditConfig{
		Operation: params.operation,
		Kind:      figpier.EditGiveKey,
		Key:       k,
		KeyID:     k.ID(),
	})
	if err != nil {
		return issuedKey{}, err
	}
	if r.KeyID() != k.ID() {
		// The receipt is of an earlier edit with this operation ID, so the new secret is not in force.
		return issuedKey{receipt: r}, nil
	}
	return issuedKey{receipt: r, secret: secret}, nil
}

func (e *editor) withdrawKey(ctx context.Context, params editParams, id string) (*figpier.Receipt, error) {
	return e.submit(ctx, figpier.EditConfig{
		Operation: params.operation,
		Kind:      figpier.EditWithdrawKey,
		KeyID:     id,
	})
}

// submit returns a *figpier.OutcomeUnknownError when the wait ends before the edit is known to be accepted or rejected.
func (e *editor) submit(ctx context.Context, c figpier.EditConfig) (*figpier.Receipt, error) {
	bounded, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	r, err := e.catalog.Submit(bounded, figpier.NewEdit(c))
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return nil, figpier.NewOutcomeUnknownError(c.Operation)
	}
	return r, err
}

func newOperationID() figpier.OperationID {
	return figpier.OperationID(hex.EncodeToString(randomBytes(operationIDSize)))
}

// randomBytes returns n bytes from the operating system's secure random source. crypto/rand never returns an error.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}
