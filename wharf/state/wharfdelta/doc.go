// Package wharfdelta holds the difference between two texts that mostly agree.
package wharfdelta
