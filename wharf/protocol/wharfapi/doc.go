// Package wharfapi defines the JSON bodies of the inference API.
package wharfapi
