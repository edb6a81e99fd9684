// Package wharfmodel simulates a model engine with continuous batching and without request priorities.
package wharfmodel
