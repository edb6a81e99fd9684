// Package wharfpick picks the endpoint of each request from this daemon's share of every endpoint's slots.
package wharfpick
