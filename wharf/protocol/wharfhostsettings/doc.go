// Package wharfhostsettings reads and validates the settings of a daemon whose state, configuration and endpoints are
// stored by the platform.
package wharfhostsettings
