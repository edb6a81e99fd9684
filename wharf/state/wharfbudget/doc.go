// Package wharfbudget holds the retry budget of a daemon.
package wharfbudget
