// Package wharfgate queues online requests fairly by organisation while all endpoints of a service are full.
package wharfgate
