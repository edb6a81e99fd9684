// Package wharfzone holds the membership row of an availability zone.
package wharfzone
