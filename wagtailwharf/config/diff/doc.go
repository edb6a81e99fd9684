// Package wharfdiff implements "config diff", which compares a bundle file with the configuration in force.
package wharfdiff
