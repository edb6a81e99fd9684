// Package wharfonce reserves idempotency keys, so that requests which must not be repeated are sent at most once.
package wharfonce
