// Package wharfsnapshot holds an immutable, indexed snapshot of the configuration for lookups on the request path.
package wharfsnapshot
