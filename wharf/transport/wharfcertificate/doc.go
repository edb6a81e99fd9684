// Package wharfcertificate provides TLS certificates that are reloaded when their files change.
package wharfcertificate
