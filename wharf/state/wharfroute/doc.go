// Package wharfroute holds one version of the routing configuration, indexed for lookups on the request path.
package wharfroute
