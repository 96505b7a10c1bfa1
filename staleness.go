package figpier

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
