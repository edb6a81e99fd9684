// Package wharfexit maps errors to the exit codes of the command line.
package wharfexit
