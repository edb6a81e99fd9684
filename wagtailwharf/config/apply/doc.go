// Package wharfapply implements "config apply", which applies a signed bundle to the deployment.
package wharfapply
