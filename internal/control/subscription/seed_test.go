package subscription

import "flag"

// init fixes the seed of rapid, so that every run tests the same cases unless -rapid.seed is given.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
