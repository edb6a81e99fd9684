// Package wharfforwarder sends a request to one endpoint and forwards the response as it arrives.
package wharfforwarder
