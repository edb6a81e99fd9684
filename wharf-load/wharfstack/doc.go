// Package wharfstack starts a complete deployment, with stand-ins for its dependencies, as processes on loopback.
package wharfstack
