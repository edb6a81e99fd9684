// Package wharfdelta computes and applies the difference between two similar texts.
package wharfdelta
