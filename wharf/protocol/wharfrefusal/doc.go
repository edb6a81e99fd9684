// Package wharfrefusal holds refusals that say whether the work ran.
package wharfrefusal
