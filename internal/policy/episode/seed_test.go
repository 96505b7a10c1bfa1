package episode

import "flag"

// init fixes the seed of property tests so that runs are reproducible. The -rapid.seed flag overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
