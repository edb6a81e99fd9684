// Package wharfsnapshot holds the immutable picture of a configuration that traffic reads.
package wharfsnapshot
