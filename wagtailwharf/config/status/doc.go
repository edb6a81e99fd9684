// Package wharfstatus implements "config status", which shows the configuration version in force on each host.
package wharfstatus
