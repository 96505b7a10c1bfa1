package raft

import "flag"

// init fixes the seed of rapid, so that every run without -rapid.seed draws the same cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
