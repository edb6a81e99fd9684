// Package wharfhttpservice implements a plain HTTP service for tests. It counts how often each request body was
// executed and injects faults on request.
package wharfhttpservice
