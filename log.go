package figpier

// RequestLogService is the name of the request log of a process.
const RequestLogService ServiceName = "host.log"

// RequestLog records refusals, retries and attempts.
type RequestLog interface {
	Service
	// Refused logs a refusal. The call is nil when the request was refused before one was created.
	Refused(c *Call, r *Refusal)
	// Retried logs a retry, or the reason why an attempt was not retried.
	Retried(c *Call, r RetryReason)
	// Routed logs the member that an attempt was sent to and its outcome. The status is 0 when there was no answer.
	Routed(c *Call, m *Member, status int, o Outcome)
}

// FindRequestLog finds the request log of a process.
func FindRequestLog(d Directory) (RequestLog, error) {
	return findService[RequestLog](d, RequestLogService)
}
