// Package wharfdrain implements "host drain", which requests a graceful shutdown of a host.
package wharfdrain
