package operator

import (
	"context"

	"github.com/sirupsen/logrus"
	"goa.design/goa/v3/security"

	"github.com/figpier/figpier"
	api "github.com/figpier/figpier/gen/operator"
)

// apiService implements the service interface that goa generates from the API design.
type apiService struct {
	editor *editor
	reader *reader
	log    *logrus.Entry
}

// JWTAuth implements api.Auther. It doesn't check the token itself: requireToken has done so already.
func (s *apiService) JWTAuth(ctx context.Context, _ string, _ *security.JWTScheme) (context.Context, error) {
	if operatorFromContext(ctx) == "" {
		return ctx, newUnauthorizedFailure()
	}
	return ctx, nil
}

// ListProfiles implements api.Service.
func (s *apiService) ListProfiles(context.Context, *api.ListProfilesPayload) (*api.ProfileList, error) {
	return readResult(s.reader.profiles())
}

// ViewProfile implements api.Service.
func (s *apiService) ViewProfile(_ context.Context, p *api.ViewProfilePayload) (*api.ProfileView, error) {
	return readResult(s.reader.profile(figpier.ProfileName(p.Profile)))
}

// ApplyProfile implements api.Service.
func (s *apiService) ApplyProfile(ctx context.Context, p *api.ApplyProfilePayload) (*api.Receipt, error) {
	params := newEditParams(p.Operation, p.Base)
	r, err := s.editor.applyProfile(ctx, params, figpier.ProfileName(p.Profile), p.Document)
	return s.editResult(ctx, figpier.EditApplyProfile, params, r, err)
}

// DeleteProfile implements api.Service.
func (s *apiService) DeleteProfile(ctx context.Context, p *api.DeleteProfilePayload) (*api.Receipt, error) {
	params := newEditParams(p.Operation, p.Base)
	r, err := s.editor.deleteProfile(ctx, params, figpier.ProfileName(p.Profile))
	return s.editResult(ctx, figpier.EditDeleteProfile, params, r, err)
}

// ListAssignments implements api.Service.
func (s *apiService) ListAssignments(context.Context, *api.ListAssignmentsPayload) (*api.AssignmentList, error) {
	return readResult(s.reader.assignments())
}

// Assign implements api.Service.
func (s *apiService) Assign(ctx context.Context, p *api.AssignPayload) (*api.Receipt, error) {
	params := newEditParams(p.Operation, p.Base)
	r, err := s.editor.assign(ctx, params, figpier.UpstreamService(p.Service), figpier.ProfileName(p.Profile))
	return s.editResult(ctx, figpier.EditAssign, params, r, err)
}

// ListKeys implements api.Service.
func (s *apiService) ListKeys(context.Context, *api.ListKeysPayload) (*api.KeyList, error) {
	return readResult(s.reader.keys())
}

// GiveKey implements api.Service.
func (s *apiService) GiveKey(ctx context.Context, p *api.GiveKeyPayload) (*api.Receipt, error) {
	params := newEditParams(p.Operation, 0)
	given, err := s.editor.giveKey(ctx, params, figpier.CustomerID(p.Customer))
	receipt, err := s.editResult(ctx, figpier.EditGiveKey, params, given.receipt, err)
	if err == nil && given.secret != "" {
		receipt.Secret = &given.secret
	}
	return receipt, err
}

// WithdrawKey implements api.Service.
func (s *apiService) WithdrawKey(ctx context.Context, p *api.WithdrawKeyPayload) (*api.Receipt, error) {
	params := newEditParams(p.Operation, 0)
	r, err := s.editor.withdrawKey(ctx, params, p.Key)
	return s.editResult(ctx, figpier.EditWithdrawKey, params, r, err)
}

// ViewStatus implements api.Service.
func (s *apiService) ViewStatus(context.Context, *api.ViewStatusPayload) (*api.Status, error) {
	return s.reader.status(), nil
}

// ViewNode implements api.Service.
func (s *apiService) ViewNode(ctx context.Context, p *api.ViewNodePayload) (*api.NodeView, error) {
	return readResult(s.reader.viewNode(ctx, figpier.InstanceID(p.Instance)))
}

// readResult returns the result of a read, with its error converted to an API failure.
func readResult[T any](found *T, err error) (*T, error) {
	if err != nil {
		return nil, toFailure(err, "")
	}
	return found, nil
}

// newEditParams returns the parameters of an edit, with a new operation ID if the client sent none.
func newEditParams(operation *string, base int64) editParams {
	params := editParams{base: figpier.Revision(max(base, 0))}
	if operation == nil || *operation == "" {
		params.operation = newOperationID()
		return params
	}
	params.operation = figpier.OperationID(*operation)
	return params
}

// editResult logs the outcome of an edit and returns its receipt, or its error converted to an API failure.
func (s *apiService) editResult(ctx context.Context, k figpier.EditKind, params editParams, r *figpier.Receipt, err error) (*api.Receipt, error) {
	log := s.log.WithFields(logrus.Fields{
		"operator":  operatorFromContext(ctx),
		"edit":      string(k),
		"operation": string(params.operation),
	})
	if err != nil {
		log.WithError(err).Warn("operator edit failed")
		return nil, toFailure(err, params.operation)
	}
	log.WithField("revision", uint64(r.Revision())).Info("operator edit accepted")
	receipt := &api.Receipt{Operation: string(r.Operation()), Revision: int64(r.Revision())}
	if r.KeyID() != "" {
		receipt.Key = pointer(r.KeyID())
	}
	return receipt, nil
}
