// Package wharfjob defines the rows of batch jobs and their keys, and divides jobs into chunks.
package wharfjob
