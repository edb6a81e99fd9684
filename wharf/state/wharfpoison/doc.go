// Package wharfpoison detects poison requests: requests that crash the endpoints that run them.
package wharfpoison
