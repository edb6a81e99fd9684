// Package wharfbudget implements the retry budget of a daemon.
package wharfbudget
