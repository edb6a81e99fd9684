// Package wharfcertificate holds TLS certificates that are read anew when their files change.
package wharfcertificate
