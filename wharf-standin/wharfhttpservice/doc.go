// Package wharfhttpservice is a small stand-in for a plain service that counts its runs.
package wharfhttpservice
