// Package wharfsoak is a randomized fault-injection test. It runs daemons as processes, injects faults drawn from a
// seed, and checks the guarantees against what callers and endpoints observe.
package wharfsoak
