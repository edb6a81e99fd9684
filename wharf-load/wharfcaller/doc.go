// Package wharfcaller calls the callers' interface as a client would, and checks the answers.
package wharfcaller
