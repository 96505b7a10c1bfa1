package figpier

import "time"

// Refused reports whether a cut-off refuses requests of the rank. A cut-off of MaxRank refuses nothing.
func (r Rank) Refused(cutOff Rank) bool { return cutOff != MaxRank && r >= cutOff }

// Ranker assigns each request its rank when it enters.
type Ranker interface {
	Service
	// Rank returns the rank of a request and counts it towards the customer's demand. weight is the customer's fair-share weight.
	Rank(id RequestID, c CustomerID, weight float64, p PriorityClass) Rank
	// Served records the service time of a customer's request.
	Served(c CustomerID, elapsed time.Duration)
}

// CutOffs stores the cut-offs that downstream nodes report, by the route of the call.
type CutOffs interface {
	Service
	// Record records the cut-off that a call met downstream, MaxRank for none.
	Record(c *Call, cutOff Rank)
	// CutOff returns the lowest rank that is refused downstream on the call's route, MaxRank when none is.
	CutOff(c *Call) Rank
}

// LimitKind is the kind of a limit that causes refusals.
type LimitKind string

// Kinds of limit.
const (
	LimitConcurrency LimitKind = "concurrency"
	LimitCutOff      LimitKind = "cut-off"
	LimitRetryShare  LimitKind = "retry-share"
	LimitEjection    LimitKind = "ejection"
)

// BindingConfig holds the arguments of NewBinding.
type BindingConfig struct {
	// Kind is the kind of limit.
	Kind LimitKind
	// Service is the service whose calls are refused.
	Service UpstreamService
	// Customer is the customer whose requests are refused, empty on open routes and when all are.
	Customer CustomerID
	// Place is the route or member that the limit applies to, empty for the whole service.
	Place string
	// Since is the time from which the limit has been in effect.
	Since time.Time
	// Count is the number of refusals since that time.
	Count int
	// Limit is the value of the limit, in the unit of its kind.
	Limit float64
}

// Binding describes a limit that is currently causing refusals.
type Binding struct {
	config BindingConfig
}

// NewBinding returns an immutable binding.
func NewBinding(c BindingConfig) Binding { return Binding{config: c} }

// Kind returns the kind of limit.
func (b Binding) Kind() LimitKind { return b.config.Kind }

// Service returns the service whose calls are refused.
func (b Binding) Service() UpstreamService { return b.config.Service }

// Customer returns the customer whose requests are refused, empty on open routes and when all are.
func (b Binding) Customer() CustomerID { return b.config.Customer }

// Place returns the route or member that the limit applies to, empty for the whole service.
func (b Binding) Place() string { return b.config.Place }

// Since returns the time from which the limit has been in effect.
func (b Binding) Since() time.Time { return b.config.Since }

// Count returns the number of refusals since that time.
func (b Binding) Count() int { return b.config.Count }

// Limit returns the value of the limit, in the unit of its kind.
func (b Binding) Limit() float64 { return b.config.Limit }

// Explainer is a service that reports which of its limits are causing refusals.
type Explainer interface {
	Service
	// Bindings returns the limits that are causing refusals at the given time.
	Bindings(now time.Time) []Binding
}

// FindRanker finds the ranker of a node.
func FindRanker(d Directory) (Ranker, error) {
	return findService[Ranker](d, RankService)
}

// FindCutOffs finds the store of downstream cut-offs of a node.
func FindCutOffs(d Directory) (CutOffs, error) {
	return findService[CutOffs](d, CutOffService)
}

// FindExplainer finds the service that combines the bindings of all explainers of a node.
func FindExplainer(d Directory) (Explainer, error) {
	return findService[Explainer](d, ExplanationService)
}
