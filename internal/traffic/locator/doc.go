// Package locator finds the primaries of shards by asking the control instances, and caches them until a caller reports that
// one no longer acts.
package locator
