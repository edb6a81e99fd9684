// Package wharfoutcome classifies how an attempt at an endpoint ended, and decides the next action for its request.
package wharfoutcome
