// Package wharfprinter prints command output as tables or JSON.
package wharfprinter
