// Package wharfjobs accepts batch jobs and answers for them.
package wharfjobs
