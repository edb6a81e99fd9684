// Package wharfslope measures how the control cost of a daemon grows with the size of a deployment.
package wharfslope
