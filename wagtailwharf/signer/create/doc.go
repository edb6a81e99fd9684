// Package wharfcreate implements "signer create", which creates the key pair of a signer.
package wharfcreate
