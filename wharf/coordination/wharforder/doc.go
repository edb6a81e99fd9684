// Package wharforder reconciles the model version of endpoints with the configuration.
package wharforder
