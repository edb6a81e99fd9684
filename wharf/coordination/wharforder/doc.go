// Package wharforder brings endpoints to the model version that the configuration names.
package wharforder
