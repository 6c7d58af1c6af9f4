package statemachine

import "flag"

// A fixed seed gives the same result in each run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20261204") }
