// Package wharfrpc holds the connections between daemons.
package wharfrpc
