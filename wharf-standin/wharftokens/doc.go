// Package wharftokens computes the deterministic text that a simulated engine generates for a prompt, so that clients
// can verify responses.
package wharftokens
