// Package episode tracks episodes of repeated events, such as the shedding of one customer's requests: when each began and how
// many events it has had.
package episode
