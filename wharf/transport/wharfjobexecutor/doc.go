// Package wharfjobexecutor makes attempts at batch items and collects the data of their event streams, for
// wharfjobrunner.
package wharfjobexecutor
