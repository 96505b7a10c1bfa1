package settings

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors from reading the settings file.
var Error = errs.Class("settings")

// PathVariable is the environment variable with the path of the settings file, which applies if no flag sets it.
const PathVariable = "FIGPIER_CONFIG"

// MemoryVariable is the environment variable with the memory of the process in megabytes, which applies if the file does not tell it.
const MemoryVariable = "FIGPIER_MEMORY"

// Duration is an optional duration, 0 if the file lacks it.
type Duration time.Duration

// Or returns the duration, or a default if it is not set.
func (d Duration) Or(def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return time.Duration(d)
}

// Settings are the settings of one process. They don't change after they have been read.
type Settings struct {
	processSettings
	path string
}

// processSettings are the fields at the top level of the settings file.
type processSettings struct {
	Instance       string
	DataCentre     string
	Region         string
	LogLevel       string
	Messages       string
	Metrics        string
	Memory         int
	TLS            *TLSSettings
	PrivateNetwork bool
	Node           *NodeSettings
	Mesh           *MeshSettings
	Control        *ControlSettings
}

// TLSSettings name the files with the certificates and the key for TLS.
type TLSSettings struct {
	// Authority is the PEM file of the certificate authority that signs the processes' certificates.
	Authority string
	// Certificate is the PEM file of this process's certificate.
	Certificate string
	// Key is the PEM file of this process's private key.
	Key string
}

// NodeSettings are the settings of a node.
type NodeSettings struct {
	// Service is the service that the backend server beside the node runs.
	Service string
	// Callers is the IP address and port on which the node accepts requests from callers.
	Callers string
	// Peers is the IP address and port on which the node accepts requests from other nodes.
	Peers string
	// Backend is the loopback address and port on which the node accepts the backend server's announcements and exit calls.
	Backend string
	// Controls are the message addresses of the control instances.
	Controls []string
	// Freshness is the greatest age of the node's view of control state with which keys are accepted.
	Freshness Duration
	// Announcement is the greatest age of the backend server's announcement.
	Announcement Duration
	// Leaving is how long the node continues to serve after it has announced that it leaves.
	Leaving Duration
	// Grace is the longest time that a planned stop waits for requests in flight.
	Grace Duration
}

// MeshSettings are the settings of a node that routes by the routing table.
type MeshSettings struct {
	// Service is the service that the backend server beside the node runs.
	Service string
	// Callers is the IP address and port on which the node accepts requests from callers on its instance.
	Callers string
	// Peers is the IP address and port on which the node accepts requests from other nodes.
	Peers string
	// Announcements is the IP address and port on which the node accepts the backend server's heartbeats.
	Announcements string
	// Readiness is the IP address and port on which the node answers the platform's readiness checks.
	Readiness string
	// Backend is the IP address and port on which the backend server accepts requests.
	Backend string
	// Seeds are the message addresses on which control instances may listen.
	Seeds []string
	// Withdrawal is the time after which a withdrawn key must be rejected everywhere.
	Withdrawal time.Duration
	// Propagation is the time after which an accepted routing table must be in force everywhere.
	Propagation Duration
	// Drain is the time after which a draining backend server must receive no new requests.
	Drain time.Duration
	// Grace is the time from the stop signal until the process is killed.
	Grace time.Duration
	// Retries limits the retries of the whole fleet to each service.
	Retries AllowanceSettings
	// Quota limits by how much the whole fleet may exceed a customer's rate limit.
	Quota AllowanceSettings
}

// AllowanceSettings limit a count over a sliding window to a share of the expected count plus a constant.
type AllowanceSettings struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Share is the fraction of the expected count in the window, such as 0.1.
	Share float64
	// Slack is the number that is allowed in addition to the share.
	Slack float64
}

// ControlSettings are the settings of a control instance. One with Seeds has the fields from Tables to DataFolder; one with
// Replicas has the fields from DataFolder on.
type ControlSettings struct {
	// Tables is the IP address and port on which operators read and replace the whole routing table, empty for none.
	Tables string
	// Seeds are the message addresses on which the first control instances listen. They are used instead of Replicas.
	Seeds []string
	// Founder allows this instance to take part in the bootstrap of the replicated log.
	Founder bool
	// Losses is the number of control instances whose simultaneous loss must be tolerated.
	Losses int
	// Grace is the time from the stop signal until the process is killed, 0 if it is not killed.
	Grace Duration
	// Quota limits by how much the whole fleet may exceed a customer's rate limit.
	Quota AllowanceSettings
	// DataFolder is the directory of the durable state.
	DataFolder string
	// Operators is the IP address and port of the operator API.
	Operators string
	// OperatorTokens is the path of the file with the digests of the operators' tokens.
	OperatorTokens string
	// Replicas are the control instances that bootstrap the replicated log, including this one.
	Replicas []ReplicaSettings
}

// ReplicaSettings are the name and the address of one control instance.
type ReplicaSettings struct {
	// Instance is the control instance's name.
	Instance string
	// Address is its IP address and port for messages.
	Address string
}

// Path returns the path of the file from which the settings were read.
func (s *Settings) Path() string { return s.path }

// Instance returns the name of this process.
func (s *Settings) Instance() string { return s.processSettings.Instance }

// DataCentre returns the name of the data centre in which the process runs.
func (s *Settings) DataCentre() string { return s.processSettings.DataCentre }

// Region returns the name of the region of the data centre.
func (s *Settings) Region() string { return s.processSettings.Region }

// LogLevel returns the lowest level that is logged, empty for the default.
func (s *Settings) LogLevel() string { return s.processSettings.LogLevel }

// Messages returns the IP address and port on which the process accepts messages from other processes.
func (s *Settings) Messages() string { return s.processSettings.Messages }

// Metrics returns the IP address and port of the metrics endpoint, empty for none.
func (s *Settings) Metrics() string { return s.processSettings.Metrics }

// Memory returns the memory of the process in megabytes, 0 if it is not told.
func (s *Settings) Memory() int { return s.processSettings.Memory }

// TLS returns the files for TLS, nil if connections are not encrypted.
func (s *Settings) TLS() *TLSSettings { return s.processSettings.TLS }

// Node returns the settings of a node, nil if the file has none.
func (s *Settings) Node() *NodeSettings { return s.processSettings.Node }

// Mesh returns the settings of a node that routes by the routing table, nil if the file has none.
func (s *Settings) Mesh() *MeshSettings { return s.processSettings.Mesh }

// Control returns the settings of a control instance, nil if the file has none.
func (s *Settings) Control() *ControlSettings { return s.processSettings.Control }
