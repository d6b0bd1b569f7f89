// Package seeded fixes the seed of property tests, so that every run has the same result. A test package imports it
// only for this effect; '-rapid.seed=0' draws a new seed, '-rapid.checks=N' runs more cases.
package seeded

import (
	"flag"

	_ "pgregory.net/rapid" // defines the flags set here
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
