// Package wharfrow holds the rows and commits of the platform's transactional table.
package wharfrow
