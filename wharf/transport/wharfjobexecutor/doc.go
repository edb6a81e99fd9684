// Package wharfjobexecutor makes one attempt at a batch item and collects what its events hold.
package wharfjobexecutor
