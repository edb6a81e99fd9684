// Package wharfvalidate implements "config validate", which checks a bundle file.
package wharfvalidate
