// Package wharfrow defines the rows and commits of the platform's transactional table, and the platform's errors.
package wharfrow
