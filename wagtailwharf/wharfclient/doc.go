// Package wharfclient is the command line's HTTP client for the caller API and the operator API.
package wharfclient
