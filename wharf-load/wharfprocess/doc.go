// Package wharfprocess starts, signals and restarts child processes.
package wharfprocess
