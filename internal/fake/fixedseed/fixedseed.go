// Package fixedseed makes property tests generate the same cases on every run, so that their
// result depends on the code alone. It is imported for its side effect. The flag -rapid.seed on
// the command line takes precedence; with 0 each run uses a new seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20260921", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err) // rapid no longer has the flag; every test of the importing package then fails
		}
	}
}
