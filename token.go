package figpier

import "time"

// TokenRequestConfig holds the arguments of NewTokenRequest.
type TokenRequestConfig struct {
	// Customer is the sender of the request.
	Customer CustomerID
	// Service is the service that the request goes to.
	Service UpstreamService
	// Priority is the priority class of the route. While a customer is at its limit, requests of higher classes go first.
	Priority PriorityClass
	// Patience is how long the request can wait for its token at most.
	Patience time.Duration
}

// TokenRequest asks for one token of a customer's rate limit.
type TokenRequest struct {
	config TokenRequestConfig
}

// NewTokenRequest returns an immutable request for a token.
func NewTokenRequest(c TokenRequestConfig) TokenRequest { return TokenRequest{config: c} }

// Customer returns the sender of the request.
func (r TokenRequest) Customer() CustomerID { return r.config.Customer }

// Service returns the service that the request goes to.
func (r TokenRequest) Service() UpstreamService { return r.config.Service }

// Priority returns the priority class of the route.
func (r TokenRequest) Priority() PriorityClass { return r.config.Priority }

// Patience returns how long the request can wait for its token at most.
func (r TokenRequest) Patience() time.Duration { return r.config.Patience }
