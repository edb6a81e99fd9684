// Package wharfrollout accepts signed configurations and distributes them to every host.
package wharfrollout
