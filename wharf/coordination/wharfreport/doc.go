// Package wharfreport tells the host that schedules batch on an endpoint how many online requests run there.
package wharfreport
