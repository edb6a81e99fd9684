// Package wharfjob holds the rows of batch jobs and the plan of their chunks.
package wharfjob
