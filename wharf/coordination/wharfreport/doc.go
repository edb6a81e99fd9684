// Package wharfreport reports the number of online requests on each endpoint to the host that schedules batch work
// there.
package wharfreport
