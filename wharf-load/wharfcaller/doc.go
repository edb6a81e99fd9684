// Package wharfcaller is a client of the caller API that verifies the responses.
package wharfcaller
