// Package wharfpoison holds the ledger of requests that crash endpoints.
package wharfpoison
