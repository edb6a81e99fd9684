// Package wharfstorage defines the interface to the platform's table and object store, with helpers for JSON rows.
package wharfstorage
