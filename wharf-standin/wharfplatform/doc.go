// Package wharfplatform is a small stand-in for the platform: its table, object store, weight store and host list.
package wharfplatform
