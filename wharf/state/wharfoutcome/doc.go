// Package wharfoutcome classifies how an attempt at an endpoint ended and decides what follows from it.
package wharfoutcome
