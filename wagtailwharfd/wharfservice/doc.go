// Package wharfservice runs the services of a daemon under a supervisor.
package wharfservice
