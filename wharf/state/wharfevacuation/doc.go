// Package wharfevacuation holds the set of availability zones whose endpoints get no requests, as of a store version.
//
// It handles the load of a zone that an operator empties while it is in use: hosts learn of the change at different
// times and from different sources, so that each statement carries the store version at which it holds, and the newest
// wins.
package wharfevacuation
