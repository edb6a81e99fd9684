// Package wharfexport implements "config export", which writes the configuration in force to a file.
package wharfexport
