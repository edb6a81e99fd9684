// Package wharflist implements "org list", which lists the organisations in force.
package wharflist
