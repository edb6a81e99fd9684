// Package wharfrefusal defines refusals, the errors sent to callers, which state whether the request may have run.
package wharfrefusal
