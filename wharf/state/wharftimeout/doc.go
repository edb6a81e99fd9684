// Package wharftimeout computes the time limits of online requests: how long a request waits for a slot and for data
// from its endpoint, and the retry delay of a refused request.
//
// The limits are designed for bursts that take all slots for a few seconds. A caller that learns early that its request
// has not run can retry while a response is still of use, and its waiting does not delay the retries of others.
package wharftimeout
