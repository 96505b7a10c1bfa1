// Package fixed implements simple policies as a baseline for measurements: a fixed concurrency limit, random routing, and
// limits and retries that each node decides alone.
package fixed
