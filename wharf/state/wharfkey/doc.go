// Package wharfkey builds keys of rows and names of objects from names that callers and operators choose. Different names
// never give the same key, whatever characters they have.
package wharfkey
