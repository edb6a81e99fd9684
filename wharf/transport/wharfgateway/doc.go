// Package wharfgateway serves the callers' HTTP interface: model generation, files and batches, and plain services.
package wharfgateway
