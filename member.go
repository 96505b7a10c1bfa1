package figpier

// MemberConfig holds the arguments of NewMember.
type MemberConfig struct {
	// Instance identifies the node.
	Instance InstanceID
	// Service is the service that the node's backend server implements.
	Service UpstreamService
	// DataCentre is the data centre of the node.
	DataCentre DataCentre
	// Region is the region of the data centre.
	Region Region
	// PeerAddress is the IP address and port of the node's peer listener.
	PeerAddress string
	// MessageAddress is the IP address and port for messages between processes.
	MessageAddress string
	// Slots is the number of concurrent requests that the backend server has announced.
	Slots int
	// Draining is set when the member accepts no new calls.
	Draining bool
	// Sequence orders the announcements of one node.
	Sequence uint64
}

// Member is a node and its local backend server, as registered with the control instances.
type Member struct {
	config MemberConfig
}

// NewMember returns an immutable member.
func NewMember(c MemberConfig) *Member { return &Member{config: c} }

// Config returns a copy of the arguments, from which a changed member can be built.
func (m *Member) Config() MemberConfig { return m.config }

// Instance returns the identifier of the node.
func (m *Member) Instance() InstanceID { return m.config.Instance }

// Service returns the service that the backend server implements.
func (m *Member) Service() UpstreamService { return m.config.Service }

// DataCentre returns the data centre of the node.
func (m *Member) DataCentre() DataCentre { return m.config.DataCentre }

// Region returns the region of the data centre.
func (m *Member) Region() Region { return m.config.Region }

// PeerAddress returns the IP address and port of the peer listener.
func (m *Member) PeerAddress() string { return m.config.PeerAddress }

// MessageAddress returns the IP address and port for messages between processes.
func (m *Member) MessageAddress() string { return m.config.MessageAddress }

// Slots returns the number of concurrent requests that the backend server has announced.
func (m *Member) Slots() int { return m.config.Slots }

// Draining reports whether the member accepts no new calls.
func (m *Member) Draining() bool { return m.config.Draining }

// Sequence returns the number that orders the announcements of one node.
func (m *Member) Sequence() uint64 { return m.config.Sequence }

// MemberDeltaConfig holds the arguments of NewMemberDelta.
type MemberDeltaConfig struct {
	// Version is the registry version after the delta.
	Version uint64
	// Members holds the members that were added or changed.
	Members []*Member
	// Removed holds the members that were removed.
	Removed []InstanceID
	// Changed is closed at the next change to the registry.
	Changed <-chan struct{}
}

// MemberDelta holds the changes to a registry after a version.
type MemberDelta struct {
	config MemberDeltaConfig
}

// NewMemberDelta returns a delta.
func NewMemberDelta(c MemberDeltaConfig) MemberDelta { return MemberDelta{config: c} }

// Version returns the registry version after the delta.
func (d MemberDelta) Version() uint64 { return d.config.Version }

// Members returns the members that were added or changed.
func (d MemberDelta) Members() []*Member { return d.config.Members }

// Removed returns the members that were removed.
func (d MemberDelta) Removed() []InstanceID { return d.config.Removed }

// Changed returns a channel that is closed at the next change to the registry.
func (d MemberDelta) Changed() <-chan struct{} { return d.config.Changed }
