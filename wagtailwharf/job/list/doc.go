// Package wharflist implements "job list", which lists batch jobs.
package wharflist
