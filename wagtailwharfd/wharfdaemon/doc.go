// Package wharfdaemon assembles the entry daemon and runs its services under a supervisor.
package wharfdaemon
