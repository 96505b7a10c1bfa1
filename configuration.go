package figpier

import "maps"

// KeyDigest is the SHA-256 digest of a customer key.
type KeyDigest [32]byte

// KeyConfig holds the arguments of NewKey.
type KeyConfig struct {
	// ID is the key ID, which operators use to withdraw the key.
	ID string
	// Customer is the owner of the key.
	Customer CustomerID
	// Digest is the digest of the secret that callers send.
	Digest KeyDigest
	// Revision is the configuration revision that gave the key to its customer.
	Revision Revision
}

// Key describes a customer key. It holds the digest of the secret, not the secret.
type Key struct {
	config KeyConfig
}

// NewKey returns an immutable key.
func NewKey(c KeyConfig) *Key { return &Key{config: c} }

// ID returns the key ID, which operators use to withdraw the key.
func (k *Key) ID() string { return k.config.ID }

// Customer returns the owner of the key.
func (k *Key) Customer() CustomerID { return k.config.Customer }

// Digest returns the digest of the secret that callers send.
func (k *Key) Digest() KeyDigest { return k.config.Digest }

// Revision returns the configuration revision that gave the key to its customer.
func (k *Key) Revision() Revision { return k.config.Revision }

// AssignmentConfig holds the arguments of NewAssignment.
type AssignmentConfig struct {
	// Service is the service that the profile applies to.
	Service UpstreamService
	// Profile is the name of the assigned profile.
	Profile ProfileName
	// Revision is the configuration revision that last changed the assignment.
	Revision Revision
}

// Assignment assigns a profile to a service.
type Assignment struct {
	config AssignmentConfig
}

// NewAssignment returns an immutable assignment.
func NewAssignment(c AssignmentConfig) *Assignment { return &Assignment{config: c} }

// Service returns the service that the profile applies to.
func (a *Assignment) Service() UpstreamService { return a.config.Service }

// Profile returns the name of the assigned profile.
func (a *Assignment) Profile() ProfileName { return a.config.Profile }

// Revision returns the configuration revision that last changed the assignment.
func (a *Assignment) Revision() Revision { return a.config.Revision }

// ConfigurationConfig holds the arguments of NewConfiguration.
type ConfigurationConfig struct {
	// Revision is the revision number, which rises with each accepted edit.
	Revision Revision
	// Profiles holds the profiles by name.
	Profiles map[ProfileName]*Profile
	// Assignments holds the assignments by service.
	Assignments map[UpstreamService]*Assignment
	// Keys holds the customer keys by digest.
	Keys map[KeyDigest]*Key
	// Table is the routing table, nil when none has been set.
	Table *Table
}

// Configuration is the accepted operator configuration at one revision.
type Configuration struct {
	config ConfigurationConfig
}

// NewConfiguration returns an immutable configuration. It takes ownership of the maps in c.
func NewConfiguration(c ConfigurationConfig) *Configuration { return &Configuration{config: c} }

// Revision returns the revision number, which rises with each accepted edit.
func (c *Configuration) Revision() Revision { return c.config.Revision }

// Profiles returns the profiles by name, which the caller must not change.
func (c *Configuration) Profiles() map[ProfileName]*Profile { return c.config.Profiles }

// Assignments returns the assignments by service, which the caller must not change.
func (c *Configuration) Assignments() map[UpstreamService]*Assignment { return c.config.Assignments }

// Keys returns the keys by digest, which the caller must not change.
func (c *Configuration) Keys() map[KeyDigest]*Key { return c.config.Keys }

// Table returns the routing table, nil when none has been set.
func (c *Configuration) Table() *Table { return c.config.Table }

// ProfileOf returns the profile assigned to a service, false when it has none.
func (c *Configuration) ProfileOf(s UpstreamService) (*Profile, bool) {
	a, ok := c.config.Assignments[s]
	if !ok {
		return nil, false
	}
	p, ok := c.config.Profiles[a.Profile()]
	return p, ok
}

// CustomerOf returns the owner of the key with the given digest.
func (c *Configuration) CustomerOf(d KeyDigest) (CustomerID, bool) {
	k, ok := c.config.Keys[d]
	if !ok {
		return "", false
	}
	return k.Customer(), true
}

// Clone returns arguments for the next revision, with copies of the maps.
func (c *Configuration) Clone() ConfigurationConfig {
	return ConfigurationConfig{
		Revision:    c.config.Revision + 1,
		Profiles:    cloneMap(c.config.Profiles),
		Assignments: cloneMap(c.config.Assignments),
		Keys:        cloneMap(c.config.Keys),
		Table:       c.config.Table,
	}
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}
