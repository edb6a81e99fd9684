// Package wharflog writes log lines without blocking the callers that log them.
package wharflog
