// Package retry decides whether exit calls are retried, and limits how soon callers may retry their requests.
package retry
