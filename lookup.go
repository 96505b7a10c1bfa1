package figpier

// FindView finds the configuration view of a node.
func FindView(d Directory) (ConfigurationView, error) {
	return findService[ConfigurationView](d, ConfigurationService)
}

// FindGate finds the gate that decides which requests enter at a node.
func FindGate(d Directory) (Gate, error) {
	return findService[Gate](d, GateService)
}

// FindAdmission finds the admission control of a node.
func FindAdmission(d Directory) (Admission, error) {
	return findService[Admission](d, AdmissionService)
}

// FindHandles finds the table of running calls of a node.
func FindHandles(d Directory) (Handles, error) {
	return findService[Handles](d, HandleService)
}

// FindRouter finds the router for exit calls of a node.
func FindRouter(d Directory) (Router, error) {
	return findService[Router](d, RouterService)
}

// FindRetryDecider finds the retry policy of a node.
func FindRetryDecider(d Directory) (RetryDecider, error) {
	return findService[RetryDecider](d, RetryService)
}

// FindLimiter finds the rate limiter of a node.
func FindLimiter(d Directory) (Limiter, error) {
	return findService[Limiter](d, LimiterService)
}

// FindClaims finds the claims on non-idempotent requests of a node.
func FindClaims(d Directory) (Claims, error) {
	return findService[Claims](d, ClaimService)
}

// FindBackend finds the service that tracks the local backend server of a node.
func FindBackend(d Directory) (Backend, error) {
	return findService[Backend](d, BackendService)
}

// FindCounters finds the counters of a process.
func FindCounters(d Directory) (Counters, error) {
	return findService[Counters](d, CounterService)
}

// FindCatalog finds the catalog of a control instance.
func FindCatalog(d Directory) (Catalog, error) {
	return findService[Catalog](d, CatalogService)
}

// FindReplicatedLog finds the replicated log of a control instance.
func FindReplicatedLog(d Directory) (ReplicatedLog, error) {
	return findService[ReplicatedLog](d, ReplicaService)
}

// FindRegistry finds the member registry of a control instance.
func FindRegistry(d Directory) (Registry, error) {
	return findService[Registry](d, RegistryService)
}

// FindMessenger finds the messenger of a process.
func FindMessenger(d Directory) (Messenger, error) {
	return findService[Messenger](d, MessengerService)
}

// FindRunner finds the runner of calls of a node.
func FindRunner(d Directory) (Runner, error) {
	return findService[Runner](d, RunnerService)
}

// FindCallServer finds the service that serves HTTP requests by calls at the local backend server of a node.
func FindCallServer(d Directory) (CallServer, error) {
	return findService[CallServer](d, BackendService)
}

// FindForwarder finds the proxy for callers' requests of a node.
func FindForwarder(d Directory) (Forwarder, error) {
	return findService[Forwarder](d, ForwardService)
}

// FindDeliverer finds the service that sends calls to the local backend server of a node.
func FindDeliverer(d Directory) (Deliverer, error) {
	return findService[Deliverer](d, DeliveryService)
}

// FindHealthCheck finds the health check of the local backend server of a node.
func FindHealthCheck(d Directory) (HealthCheck, error) {
	return findService[HealthCheck](d, HealthCheckService)
}

// FindDialect finds the dialect of the local backend server of a node.
func FindDialect(d Directory) (Dialect, error) {
	return findService[Dialect](d, DialectService)
}

// FindReadiness finds the readiness check of a node.
func FindReadiness(d Directory) (Readiness, error) {
	return findService[Readiness](d, ReadinessService)
}

// FindAnnouncements finds the service that receives the announcements of the local backend server of a node.
func FindAnnouncements(d Directory) (Announcements, error) {
	return findService[Announcements](d, BackendService)
}

// FindSeedSource finds the source of seed addresses of a process.
func FindSeedSource(d Directory) (SeedSource, error) {
	return findService[SeedSource](d, SeedService)
}

// findService returns the service registered under the name, or an *UnknownServiceError if there is none of type T.
func findService[T Service](d Directory, name ServiceName) (T, error) {
	var none T
	s, err := d.Find(name)
	if err != nil {
		return none, err
	}
	t, ok := s.(T)
	return t, checkType(ok, name)
}

func checkType(ok bool, name ServiceName) error {
	if ok {
		return nil
	}
	return NewUnknownServiceError(name)
}
