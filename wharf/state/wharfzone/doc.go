// Package wharfzone defines the membership row of an availability zone.
package wharfzone
