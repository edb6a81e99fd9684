// Package wharflist implements "host list", which lists the hosts of all availability zones.
package wharflist
