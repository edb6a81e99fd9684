// Package wharfoperator serves the operators' HTTP interface: configuration, hosts, endpoints, metrics and health.
package wharfoperator
