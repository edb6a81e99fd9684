// Package wharfdemo walks through the whole path on loopback.
package wharfdemo
