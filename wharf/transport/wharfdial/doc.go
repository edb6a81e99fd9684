// Package wharfdial holds the connections between daemons.
package wharfdial
