// Package wharftimeout computes the time limits of online requests: how long one may wait for a slot, how long an
// endpoint may be idle, and the retry delay of a request that is refused.
//
// It is designed for bursts that take all slots for a few seconds. A caller that learns early that its request has not
// run can retry while an answer is still of use, and does not delay the retries of others by waiting.
package wharftimeout
