// Package wharfgateway serves the callers' interface.
package wharfgateway
