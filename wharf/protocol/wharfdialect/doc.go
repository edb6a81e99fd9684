// Package wharfdialect defines the interface between the request pipeline and the names and formats of an HTTP API.
package wharfdialect
