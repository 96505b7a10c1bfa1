package figpier

import "time"

// Deny returns the refusal of a request that the configuration of a view does not allow. A view that is not fresh may lack the change that
// allows it, so that the request is refused as stale instead, and its caller may come back.
func Deny(v ConfigurationView, now time.Time, r RefusalReason) *Refusal {
	if !v.Fresh(now) {
		return Refuse(RefusalStaleView)
	}
	return Refuse(r)
}

// Staleness notifies when a node's configuration is too old to continue requests with customer keys.
type Staleness interface {
	Service
	// OnStale registers a function that runs on the control thread each time the configuration becomes too old.
	OnStale(f func())
}

// FindStaleness finds the service that detects stale configuration on a node.
func FindStaleness(d Directory) (Staleness, error) {
	return findService[Staleness](d, ConfigurationService)
}
