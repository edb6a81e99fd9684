// Package wharfmodel is a small stand-in for a model engine with continuous batching and no priorities.
package wharfmodel
