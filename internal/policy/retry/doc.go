// Package retry decides which attempts are retried. A retry must be safe and likely to help, and is limited by the budget of
// the whole call tree and by the ratio of retries to first attempts.
package retry
