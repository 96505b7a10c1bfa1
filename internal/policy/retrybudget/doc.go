// Package retrybudget limits the retries to each service to a ratio of its first attempts over a sliding window.
package retrybudget
