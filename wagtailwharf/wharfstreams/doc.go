// Package wharfstreams holds the standard streams of a command.
package wharfstreams
