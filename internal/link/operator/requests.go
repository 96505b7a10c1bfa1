package operator

import (
	"context"

	api "github.com/figpier/figpier/gen/operator"
)

// EditConfig holds the parameters that every edit has.
type EditConfig struct {
	// Operation is the ID of the edit; a resend must carry the same one, so that the edit is not carried out twice.
	Operation string
	// Base is the revision of the object that the operator saw, 0 to create it. Edits of keys don't use it.
	Base int64
}

// Profiles returns a summary of each profile.
func (c *Client) Profiles(ctx context.Context) (*api.ProfileList, error) {
	return read(ctx, c, func(ctx context.Context, a *api.Client) (*api.ProfileList, error) {
		return a.ListProfiles(ctx, &api.ListProfilesPayload{Token: c.config.Token})
	})
}

// Profile returns a profile with its document, the text of a profile file.
func (c *Client) Profile(ctx context.Context, name string) (*api.ProfileView, error) {
	return read(ctx, c, func(ctx context.Context, a *api.Client) (*api.ProfileView, error) {
		return a.ViewProfile(ctx, &api.ViewProfilePayload{Token: c.config.Token, Profile: name})
	})
}

// ApplyProfile creates or replaces a profile. The document is the text of a profile file.
func (c *Client) ApplyProfile(ctx context.Context, e EditConfig, name, document string) (*api.Receipt, error) {
	return edit(ctx, c, e.Operation, func(ctx context.Context, a *api.Client) (*api.Receipt, error) {
		return a.ApplyProfile(ctx, &api.ApplyProfilePayload{
			Token:     c.config.Token,
			Operation: &e.Operation,
			Base:      e.Base,
			Profile:   name,
			Document:  document,
		})
	})
}

// DeleteProfile deletes a profile that is assigned to no service.
func (c *Client) DeleteProfile(ctx context.Context, e EditConfig, name string) (*api.Receipt, error) {
	return edit(ctx, c, e.Operation, func(ctx context.Context, a *api.Client) (*api.Receipt, error) {
		return a.DeleteProfile(ctx, &api.DeleteProfilePayload{
			Token:     c.config.Token,
			Operation: &e.Operation,
			Base:      e.Base,
			Profile:   name,
		})
	})
}

// Assignments returns which service has which profile.
func (c *Client) Assignments(ctx context.Context) (*api.AssignmentList, error) {
	return read(ctx, c, func(ctx context.Context, a *api.Client) (*api.AssignmentList, error) {
		return a.ListAssignments(ctx, &api.ListAssignmentsPayload{Token: c.config.Token})
	})
}

// Assign assigns a profile to a service, in place of the one that it has.
func (c *Client) Assign(ctx context.Context, e EditConfig, service, profile string) (*api.Receipt, error) {
	return edit(ctx, c, e.Operation, func(ctx context.Context, a *api.Client) (*api.Receipt, error) {
		return a.Assign(ctx, &api.AssignPayload{
			Token:     c.config.Token,
			Operation: &e.Operation,
			Base:      e.Base,
			Service:   service,
			Profile:   profile,
		})
	})
}

// Keys returns all customer keys without their secrets, which are stored nowhere.
func (c *Client) Keys(ctx context.Context) (*api.KeyList, error) {
	return read(ctx, c, func(ctx context.Context, a *api.Client) (*api.KeyList, error) {
		return a.ListKeys(ctx, &api.ListKeysPayload{Token: c.config.Token})
	})
}

// GiveKey gives a customer a new key. The receipt contains the secret, except for a resend of an edit that was accepted.
func (c *Client) GiveKey(ctx context.Context, e EditConfig, customer string) (*api.Receipt, error) {
	return edit(ctx, c, e.Operation, func(ctx context.Context, a *api.Client) (*api.Receipt, error) {
		return a.GiveKey(ctx, &api.GiveKeyPayload{
			Token:     c.config.Token,
			Operation: &e.Operation,
			Customer:  customer,
		})
	})
}

// WithdrawKey withdraws the customer key with an ID.
func (c *Client) WithdrawKey(ctx context.Context, e EditConfig, id string) (*api.Receipt, error) {
	return edit(ctx, c, e.Operation, func(ctx context.Context, a *api.Client) (*api.Receipt, error) {
		return a.WithdrawKey(ctx, &api.WithdrawKeyPayload{
			Token:     c.config.Token,
			Operation: &e.Operation,
			Key:       id,
		})
	})
}

// Status returns the status of the first control instance that answers, as it knows it.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	return read(ctx, c, func(ctx context.Context, a *api.Client) (*api.Status, error) {
		return a.ViewStatus(ctx, &api.ViewStatusPayload{Token: c.config.Token})
	})
}

// Node returns which limits of a node currently delay or refuse requests.
func (c *Client) Node(ctx context.Context, instance string) (*api.NodeView, error) {
	return read(ctx, c, func(ctx context.Context, a *api.Client) (*api.NodeView, error) {
		return a.ViewNode(ctx, &api.ViewNodePayload{Token: c.config.Token, Instance: instance})
	})
}
