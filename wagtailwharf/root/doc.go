// Package wharfroot assembles the command tree of the command line.
package wharfroot
