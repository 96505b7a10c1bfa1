package figpier

// ServiceName is the name under which a service of a process is registered.
type ServiceName string

// Names of the services of a process.
const (
	CatalogService        ServiceName = "control.catalog"
	ReplicaService        ServiceName = "control.replica"
	OperatorService       ServiceName = "control.operator"
	SubscriptionService   ServiceName = "control.subscription"
	ConfigurationService  ServiceName = "traffic.configuration"
	GateService           ServiceName = "traffic.gate"
	AdmissionService      ServiceName = "traffic.admission"
	HandleService         ServiceName = "traffic.handles"
	RouterService         ServiceName = "traffic.router"
	LimiterService        ServiceName = "traffic.limiter"
	ClaimService          ServiceName = "traffic.claims"
	BackendService        ServiceName = "traffic.backend"
	ExitService           ServiceName = "traffic.exit"
	RunnerService         ServiceName = "traffic.runner"
	LeavingService        ServiceName = "traffic.leaving"
	CallerListenerService ServiceName = "traffic.listener.caller"
	PeerListenerService   ServiceName = "traffic.listener.peer"
	RetryService          ServiceName = "traffic.retries"
	ExchangeService       ServiceName = "control.exchange"
	RegistryService       ServiceName = "control.registry"
	MessengerService      ServiceName = "link.messenger"
	RankService           ServiceName = "traffic.ranks"
	CutOffService         ServiceName = "traffic.cut-offs"
	ExplanationService    ServiceName = "traffic.explanation"
	CounterService        ServiceName = "host.counters"
	MemoryService         ServiceName = "host.memory"
	PoolService           ServiceName = "control.pool"
	SeedService           ServiceName = "host.seeds"
	ForwardService        ServiceName = "traffic.forward"
	DeliveryService       ServiceName = "traffic.delivery"
	DialectService        ServiceName = "traffic.dialect"
	HealthCheckService    ServiceName = "traffic.health-check"
	ReadinessService      ServiceName = "traffic.readiness"
)

// UpstreamService is the name of a service that backend servers implement, such as "roster" or "booking".
type UpstreamService string

// CustomerID identifies a customer.
type CustomerID string

// ProfileName is the name of a profile.
type ProfileName string

// InstanceID identifies a node or control instance for the lifetime of its process.
type InstanceID string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a group of nearby data centres.
type Region string

// RequestID identifies an end-to-end request at every hop.
type RequestID string

// OperationID identifies an operator's edit, so that a resend gets the first answer and is not applied twice.
type OperationID string

// IdempotencyKey is the caller's identifier for one non-idempotent request, shared by its resends.
type IdempotencyKey string

// Handle is an opaque token for a running call. A backend server sends it with its exit calls.
type Handle string

// Revision is the number of an accepted configuration. It rises with each accepted edit.
type Revision uint64
