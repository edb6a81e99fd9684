// Package wharflimiter enforces each organisation's rate and burst across all hosts without a coordinator.
//
// Every host owns an equal share of each organisation's token bucket and refills it independently. A host whose share
// is empty pulls tokens from the hosts that have the most left, and claims what full shares could not refill while tokens
// were missing in its own. The shares of unreachable or stopped hosts stay reserved until those hosts have been gone for a
// long time. A restarted process begins with an almost empty share.
package wharflimiter
