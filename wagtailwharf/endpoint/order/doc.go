// Package wharforder implements "endpoint order", which sets the model version of a service in a bundle file.
package wharforder
