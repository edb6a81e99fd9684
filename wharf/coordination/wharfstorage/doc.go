// Package wharfstorage names what coordination needs of the platform's table and object store.
package wharfstorage
