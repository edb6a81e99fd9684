// Package wharfslope measures how the control-plane cost of a daemon grows with the size of a deployment.
package wharfslope
