// Package wharftokens computes the deterministic text that the engine stand-in generates, so that callers can check answers.
package wharftokens
